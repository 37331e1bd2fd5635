package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * What discovery has to tell of one host, or has told.
 *
 * @param at microseconds of Unix time at which it was written
 * @param watcher number of the watch, from 1; 0 marks the change itself, before any watch heard of it
 * @param host id of the host
 * @param state {@code up}, {@code draining} or {@code removed}
 * @param version discovery's version of the list
 */
public record WatchNotification(long at, long watcher, String host, String state, long version) implements LogRecord {
    static final String KIND = "told";

    @Override
    public void write(JsonGenerator g) throws IOException {
        g.writeStartObject();
        g.writeStringField("k", KIND);
        g.writeNumberField("at", at);
        g.writeNumberField("watcher", watcher);
        g.writeStringField("host", host);
        g.writeStringField("state", state);
        g.writeNumberField("version", version);
        g.writeEndObject();
    }

    static WatchNotification read(JsonNode n) {
        return new WatchNotification(
                JsonFields.whole(n, "at"),
                JsonFields.whole(n, "watcher"),
                JsonFields.text(n, "host"),
                JsonFields.text(n, "state"),
                JsonFields.whole(n, "version"));
    }
}
