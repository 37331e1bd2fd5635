package rillyard.membership.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import rillyard.membership.MemberUpdate;
import rillyard.membership.MembershipEvent;

/** Appends the membership events of one process to a file, one JSON object a line; each line is flushed. */
final class MembershipEventLog implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Writer writer;
    private final String member;

    /** Opens the log of a member; appends to the lines of earlier processes. */
    MembershipEventLog(Path file, String member) throws IOException {
        this.writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.member = member;
    }

    /**
     * Appends an event.
     *
     * @param unixMillis when it happened
     * @throws IOException if the line can't be written; the log stays usable
     */
    void append(long unixMillis, MembershipEvent event) throws IOException {
        MemberUpdate update = event.update();
        ObjectNode line = JSON.createObjectNode();
        line.put("at", unixMillis)
                .put("member", member)
                .put("about", update.identity().name())
                .put("status", update.status().name());
        line.put(
                        "before",
                        event.previousStatus() == null
                                ? null
                                : event.previousStatus().name())
                .put("start", update.incarnation().startedAtMillis());
        line.put("incarnation", update.incarnation().counter()).put("by", event.source());
        writer.write(JSON.writeValueAsString(line));
        writer.write('\n');
        writer.flush();
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
