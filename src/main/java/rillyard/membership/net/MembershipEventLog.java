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

/** What one process believed and since when, a JSON object a line; each line is out at once. */
final class MembershipEventLog implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Writer out;
    private final String member;

    /** Goes on where the file has lines of an earlier process of that name. */
    MembershipEventLog(Path file, String member) throws IOException {
        this.out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        this.member = member;
    }

    /** {@code unixMs} is when; an IOException costs the line, never the member. */
    void line(long unixMs, MembershipEvent event) throws IOException {
        MemberUpdate update = event.now();
        ObjectNode node = JSON.createObjectNode();
        node.put("at", unixMs)
                .put("member", member)
                .put("about", update.identity().name())
                .put("status", update.status().name());
        node.put("before", event.before() == null ? null : event.before().name())
                .put("start", update.incarnation().startedAtMillis());
        node.put("incarnation", update.incarnation().counter()).put("by", event.by());
        out.write(JSON.writeValueAsString(node));
        out.write('\n');
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
