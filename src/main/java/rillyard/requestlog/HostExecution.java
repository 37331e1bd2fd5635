package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * One request that a host received, written when the host is done with it. Times are microseconds
 * of Unix time.
 *
 * @param id what {@code X-Request-ID} said
 * @param key what {@code Idempotency-Key} said, or null
 * @param type class of the request
 * @param host id of the host
 * @param cell the cell whose hosts share the memory of keys
 * @param zone the host's zone
 * @param attempt how many times the stand-ins had received this id before, all hosts together
 * @param received when its first byte came
 * @param started when it began to run, 0 if it never did
 * @param ended when the host was done with it
 * @param work what it costs in core time of a warm host, in microseconds
 * @param result what became of it
 */
public record HostExecution(
        String id,
        String key,
        String type,
        String host,
        long cell,
        String zone,
        int attempt,
        long received,
        long started,
        long ended,
        long work,
        ExecutionResult result)
        implements LogRecord {
    static final String KIND = "run";

    /** Whether the one who sent it must take it to have had its effect. */
    public boolean mayHaveRun() {
        return started != 0 && result.mayHaveRun();
    }

    /** Whether it really had its effect here. */
    public boolean effect() {
        return started != 0 && result.effect();
    }

    @Override
    public void write(JsonGenerator g) throws IOException {
        g.writeStartObject();
        g.writeStringField("k", KIND);
        g.writeStringField("id", id);
        if (key != null) {
            g.writeStringField("key", key);
        }
        g.writeStringField("class", type);
        g.writeStringField("host", host);
        g.writeNumberField("cell", cell);
        g.writeStringField("zone", zone);
        g.writeNumberField("attempt", attempt);
        g.writeNumberField("received", received);
        g.writeNumberField("started", started);
        g.writeNumberField("ended", ended);
        g.writeNumberField("work", work);
        g.writeStringField("result", result.name());
        g.writeEndObject();
    }

    static HostExecution read(JsonNode n) {
        return new HostExecution(
                JsonFields.text(n, "id"),
                JsonFields.textOrNull(n, "key"),
                JsonFields.text(n, "class"),
                JsonFields.text(n, "host"),
                JsonFields.whole(n, "cell"),
                JsonFields.text(n, "zone"),
                (int) JsonFields.whole(n, "attempt"),
                JsonFields.whole(n, "received"),
                JsonFields.whole(n, "started"),
                JsonFields.whole(n, "ended"),
                JsonFields.whole(n, "work"),
                JsonFields.choice(n, "result", ExecutionResult.class));
    }
}
