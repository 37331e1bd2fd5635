package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Something that happened to a host, or a fault that began or ended.
 *
 * @param at microseconds of Unix time
 * @param host id of the host; {@code discovery} for a fault of discovery
 * @param kind what happened
 * @param detail words for a reader, or null
 * @param capacity cores times speed: microseconds of work that a warm host does in one
 * @param startShare share of the capacity with which a cold host begins; 1 for a warm one
 * @param coldMicros how long it takes to become warm
 */
public record HostEvent(
        long at, String host, Kind kind, String detail, double capacity, double startShare, long coldMicros)
        implements LogRecord {
    static final String KIND = "host";

    /** What can happen. */
    public enum Kind {
        STARTED,
        DRAINING,
        STOPPED,
        KILLED,
        FAULT,
        FAULT_ENDED
    }

    /** Whether a host that started was cold. */
    public boolean startsCold() {
        return coldMicros > 0;
    }

    /** News that says nothing of the capacity. */
    public HostEvent(long at, String host, Kind what, String detail) {
        this(at, host, what, detail, 0, 1, 0);
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("at", at);
        json.writeStringField("host", host);
        json.writeStringField("what", kind.name());
        if (detail != null) {
            json.writeStringField("detail", detail);
        }
        if (kind == Kind.STARTED) {
            json.writeNumberField("capacity", capacity);
            json.writeNumberField("start_share", startShare);
            json.writeNumberField("cold", coldMicros);
        }
        json.writeEndObject();
    }

    static HostEvent read(JsonNode node) {
        return new HostEvent(
                JsonFields.whole(node, "at"),
                JsonFields.text(node, "host"),
                JsonFields.choice(node, "what", Kind.class),
                JsonFields.textOrNull(node, "detail"),
                node.path("capacity").asDouble(0),
                node.path("start_share").asDouble(1),
                node.path("cold").asLong(0));
    }
}
