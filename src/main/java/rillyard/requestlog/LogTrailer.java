package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The last line of a ledger that was closed in order. One without it was cut off: what is missing
 * in it proves nothing.
 *
 * @param at microseconds of Unix time
 * @param lines how many lines stand before it
 */
public record LogTrailer(long at, long lines) implements LogRecord {
    static final String KIND = "end";

    @Override
    public void write(JsonGenerator g) throws IOException {
        g.writeStartObject();
        g.writeStringField("k", KIND);
        g.writeNumberField("at", at);
        g.writeNumberField("lines", lines);
        g.writeEndObject();
    }

    static LogTrailer read(JsonNode n) {
        return new LogTrailer(JsonFields.whole(n, "at"), JsonFields.whole(n, "lines"));
    }
}
