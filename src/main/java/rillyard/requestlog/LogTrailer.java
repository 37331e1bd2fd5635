package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The last record of a request log that was closed in order. A log without it is truncated and proves nothing by what
 * it lacks.
 *
 * @param at Unix time in microseconds
 * @param recordCount number of records before it
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
