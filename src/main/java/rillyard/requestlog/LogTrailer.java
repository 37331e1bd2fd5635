package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The last line of a request log that was closed in order. One without it was cut off: what is missing
 * in it proves nothing.
 *
 * @param at microseconds of Unix time
 * @param recordCount how many lines stand before it
 */
public record LogTrailer(long at, long recordCount) implements LogRecord {
    static final String KIND = "end";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("at", at);
        json.writeNumberField("lines", recordCount);
        json.writeEndObject();
    }

    static LogTrailer read(JsonNode node) {
        return new LogTrailer(JsonFields.integer(node, "at"), JsonFields.integer(node, "lines"));
    }
}
