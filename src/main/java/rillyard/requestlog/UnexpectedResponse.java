package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Records that bytes arrived on a client's connection after its final response.
 *
 * @param at Unix time in microseconds
 * @param requestId id of the last request that was answered on that connection
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
