package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The first record of a request log.
 *
 * @param logKind {@code clients} or {@code hosts}
 * @param at Unix time in microseconds at which the log was opened
 * @param seed seed of the run
 */
public record LogHeader(String logKind, long at, long seed) implements LogRecord {
    static final String KIND = "head";

    /** Version of the record format; readers reject any other version. */
    static final int VERSION = 1;

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("version", VERSION);
        json.writeStringField("of", logKind);
        json.writeNumberField("at", at);
        json.writeNumberField("seed", seed);
        json.writeEndObject();
    }

    static LogHeader read(JsonNode node) {
        if (JsonFields.integer(node, "version") != VERSION) {
            throw new IllegalArgumentException("version: found " + node.path("version") + ", expected " + VERSION);
        }
        return new LogHeader(
                JsonFields.text(node, "of"), JsonFields.integer(node, "at"), JsonFields.integer(node, "seed"));
    }
}
