package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Records one attempt of a client's request after it has ended. Times are microseconds of Unix time.
 *
 * @param request number of the request, the same for all of its attempts
 * @param attemptNumber number of the attempt, from 0
 * @param requestId value of {@code X-Request-ID}
 * @param idempotencyKey value of {@code Idempotency-Key}, or null
 * @param requestClass class of the request
 * @param tenant tenant of the request, or null
 * @param client number of the client
 * @param scheduledAt when the schedule required the request's first attempt to be sent
 * @param sentAt when this attempt was sent
 * @param endedAt when the last byte of the response arrived, or when the client gave up
 * @param timeoutMicros timeout that the client stated in the request
 * @param outcome how the attempt ended
 * @param status status of the response, 0 without one
 * @param retryAfterMicros value of {@code Retry-After}, 0 without one
 * @param lastAttempt whether the request ended with this attempt
 */
public record ClientAttempt(
        long request,
        int attemptNumber,
        String requestId,
        String idempotencyKey,
        String requestClass,
        String tenant,
        int client,
        long scheduledAt,
        long sentAt,
        long endedAt,
        long timeoutMicros,
        ClientOutcome outcome,
        int status,
        long retryAfterMicros,
        boolean lastAttempt)
        implements LogRecord {
    static final String KIND = "try";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("request", request);
        json.writeNumberField("try", attemptNumber);
        json.writeStringField("id", requestId);
        if (idempotencyKey != null) {
            json.writeStringField("key", idempotencyKey);
        }
        json.writeStringField("class", requestClass);
        if (tenant != null) {
            json.writeStringField("tenant", tenant);
        }
        json.writeNumberField("client", client);
        json.writeNumberField("intended", scheduledAt);
        json.writeNumberField("sent", sentAt);
        json.writeNumberField("ended", endedAt);
        json.writeNumberField("timeout", timeoutMicros);
        json.writeStringField("outcome", outcome.name());
        if (status != 0) {
            json.writeNumberField("status", status);
        }
        if (retryAfterMicros != 0) {
            json.writeNumberField("retry_after", retryAfterMicros);
        }
        json.writeBooleanField("last", lastAttempt);
        json.writeEndObject();
    }

    static ClientAttempt read(JsonNode node) {
        return new ClientAttempt(
                JsonFields.integer(node, "request"),
                (int) JsonFields.integer(node, "try"),
                JsonFields.text(node, "id"),
                JsonFields.textOrNull(node, "key"),
                JsonFields.text(node, "class"),
                JsonFields.textOrNull(node, "tenant"),
                (int) JsonFields.integer(node, "client"),
                JsonFields.integer(node, "intended"),
                JsonFields.integer(node, "sent"),
                JsonFields.integer(node, "ended"),
                JsonFields.integer(node, "timeout"),
                JsonFields.enumValue(node, "outcome", ClientOutcome.class),
                node.path("status").asInt(0),
                node.path("retry_after").asLong(0),
                node.path("last").asBoolean(true));
    }
}
