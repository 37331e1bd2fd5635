package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Something that came on a client's connection behind the one answer it was owed.
 *
 * @param at microseconds of Unix time
 * @param requestId id of the request that was answered last on that connection
 */
public record UnexpectedResponse(long at, String requestId) implements LogRecord {
    static final String KIND = "surplus";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("at", at);
        json.writeStringField("id", requestId);
        json.writeEndObject();
    }

    static UnexpectedResponse read(JsonNode node) {
        return new UnexpectedResponse(JsonFields.integer(node, "at"), JsonFields.text(node, "id"));
    }
}
