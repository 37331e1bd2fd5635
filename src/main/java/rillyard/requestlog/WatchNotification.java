package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Records a change of a host's state by discovery, or the notification of a watch of such a change.
 *
 * @param at Unix time in microseconds at which the change was made or the notification was written
 * @param watcher number of the watch, from 1; 0 marks the change itself, before any watch was notified
 * @param host id of the host
 * @param state {@code up}, {@code draining} or {@code removed}
 * @param version discovery's version of the endpoint list
 */
public record WatchNotification(long at, long watcher, String host, String state, long version) implements LogRecord {
    static final String KIND = "told";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("at", at);
        json.writeNumberField("watcher", watcher);
        json.writeStringField("host", host);
        json.writeStringField("state", state);
        json.writeNumberField("version", version);
        json.writeEndObject();
    }

    static WatchNotification read(JsonNode node) {
        return new WatchNotification(
                JsonFields.integer(node, "at"),
                JsonFields.integer(node, "watcher"),
                JsonFields.text(node, "host"),
                JsonFields.text(node, "state"),
                JsonFields.integer(node, "version"));
    }
}
