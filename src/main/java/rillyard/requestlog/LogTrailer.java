package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The last record of a request log that was closed properly. A log without a trailer is truncated, so that the absence
 * of a record in it proves nothing.
 *
 * @param at Unix time in microseconds
 * @param recordCount number of records before the trailer
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
