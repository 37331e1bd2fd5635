package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Records one request that a host received, after the host has finished with it. Times are microseconds of Unix time.
 *
 * @param requestId value of {@code X-Request-ID}
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param requestClass class of the request
 * @param host id of the host
 * @param cell number of the host's cell, whose hosts share idempotency keys
 * @param zone the host's zone
 * @param attempt number of times that this id had been received before, by all hosts together
 * @param receivedAt when the first byte of the request arrived
 * @param startedAt when the execution began, 0 if it never did
 * @param endedAt when the host had finished with it
 * @param workMicros cost of the request in core time of a warm host
 * @param result how the host handled the request
 */
public record HostExecution(
        String requestId,
        String idempotencyKey,
        String requestClass,
        String host,
        long cell,
        String zone,
        int attempt,
        long receivedAt,
        long startedAt,
        long endedAt,
        long workMicros,
        ExecutionResult result)
        implements LogRecord {
    static final String KIND = "run";

    /** Returns whether the sender must assume that the request had its effect. */
    public boolean mayHaveRun() {
        return startedAt != 0 && result.mayHaveRun();
    }

    /** Returns whether the request had its effect at this host. */
    public boolean hadEffect() {
        return startedAt != 0 && result.hadEffect();
    }

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeStringField("id", requestId);
        if (idempotencyKey != null) {
            json.writeStringField("key", idempotencyKey);
        }
        json.writeStringField("class", requestClass);
        json.writeStringField("host", host);
        json.writeNumberField("cell", cell);
        json.writeStringField("zone", zone);
        json.writeNumberField("attempt", attempt);
        json.writeNumberField("received", receivedAt);
        json.writeNumberField("started", startedAt);
        json.writeNumberField("ended", endedAt);
        json.writeNumberField("work", workMicros);
        json.writeStringField("result", result.name());
        json.writeEndObject();
    }

    static HostExecution read(JsonNode node) {
        return new HostExecution(
                JsonFields.text(node, "id"),
                JsonFields.textOrNull(node, "key"),
                JsonFields.text(node, "class"),
                JsonFields.text(node, "host"),
                JsonFields.integer(node, "cell"),
                JsonFields.text(node, "zone"),
                (int) JsonFields.integer(node, "attempt"),
                JsonFields.integer(node, "received"),
                JsonFields.integer(node, "started"),
                JsonFields.integer(node, "ended"),
                JsonFields.integer(node, "work"),
                JsonFields.enumValue(node, "result", ExecutionResult.class));
    }
}
