package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Records an event of a host, or the start or end of an injected fault.
 *
 * @param at Unix time in microseconds
 * @param host id of the host; {@code discovery} for a fault of discovery
 * @param kind what happened
 * @param detail description for a human reader, or null
 * @param capacity number of cores times speed: microseconds of work that the host does per microsecond once it is warm
 * @param initialCapacityShare share of the capacity that the host has when it starts; 1 without slow start
 * @param warmUpMicros time that the host takes to reach its full capacity
 */
public record HostEvent(
        long at, String host, Kind kind, String detail, double capacity, double initialCapacityShare, long warmUpMicros)
        implements LogRecord {
    static final String KIND = "host";

    /** The kinds of events; the names are stored in the log. */
    public enum Kind {
        /** The host accepts requests. */
        STARTED,
        /** The host finishes its requests and accepts no new ones. */
        DRAINING,
        /** The host shut down gracefully. */
        STOPPED,
        /** The host ended without draining. */
        KILLED,
        /** An injected fault began. */
        FAULT,
        /** An injected fault ended. */
        FAULT_ENDED
    }

    /** Returns whether the host starts with less than its full capacity. */
    public boolean startsCold() {
        return warmUpMicros > 0;
    }

    /** Creates an event without capacity values. */
    public HostEvent(long at, String host, Kind kind, String detail) {
        this(at, host, kind, detail, 0, 1, 0);
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
            json.writeNumberField("start_share", initialCapacityShare);
            json.writeNumberField("cold", warmUpMicros);
        }
        json.writeEndObject();
    }

    static HostEvent read(JsonNode node) {
        return new HostEvent(
                JsonFields.integer(node, "at"),
                JsonFields.text(node, "host"),
                JsonFields.enumValue(node, "what", Kind.class),
                JsonFields.textOrNull(node, "detail"),
                node.path("capacity").asDouble(0),
                node.path("start_share").asDouble(1),
                node.path("cold").asLong(0));
    }
}
