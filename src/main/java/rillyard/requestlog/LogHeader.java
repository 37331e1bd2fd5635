package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The first line of a ledger.
 *
 * @param of {@code clients} or {@code hosts}
 * @param at microseconds of Unix time at which it was begun
 * @param seed the seed of the run
 */
public record LogHeader(String of, long at, long seed) implements LogRecord {
    static final String KIND = "head";

    /** The form of the lines; a reader turns away any other. */
    static final int VERSION = 1;

    @Override
    public void write(JsonGenerator g) throws IOException {
        g.writeStartObject();
        g.writeStringField("k", KIND);
        g.writeNumberField("version", VERSION);
        g.writeStringField("of", of);
        g.writeNumberField("at", at);
        g.writeNumberField("seed", seed);
        g.writeEndObject();
    }

    static LogHeader read(JsonNode n) {
        if (JsonFields.whole(n, "version") != VERSION) {
            throw new IllegalArgumentException("version: found " + n.path("version") + ", expected " + VERSION);
        }
        return new LogHeader(JsonFields.text(n, "of"), JsonFields.whole(n, "at"), JsonFields.whole(n, "seed"));
    }
}
