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
 * @param requestClass class of the request
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
        String requestClass,
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
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeStringField("id", id);
        if (key != null) {
            json.writeStringField("key", key);
        }
        json.writeStringField("class", requestClass);
        json.writeStringField("host", host);
        json.writeNumberField("cell", cell);
        json.writeStringField("zone", zone);
        json.writeNumberField("attempt", attempt);
        json.writeNumberField("received", received);
        json.writeNumberField("started", started);
        json.writeNumberField("ended", ended);
        json.writeNumberField("work", work);
        json.writeStringField("result", result.name());
        json.writeEndObject();
    }

    static HostExecution read(JsonNode node) {
        return new HostExecution(
                JsonFields.text(node, "id"),
                JsonFields.textOrNull(node, "key"),
                JsonFields.text(node, "class"),
                JsonFields.text(node, "host"),
                JsonFields.whole(node, "cell"),
                JsonFields.text(node, "zone"),
                (int) JsonFields.whole(node, "attempt"),
                JsonFields.whole(node, "received"),
                JsonFields.whole(node, "started"),
                JsonFields.whole(node, "ended"),
                JsonFields.whole(node, "work"),
                JsonFields.choice(node, "result", ExecutionResult.class));
    }
}
