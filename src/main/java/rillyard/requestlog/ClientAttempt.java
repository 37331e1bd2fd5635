package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * One try of a client's request, written when it has ended. Times are microseconds of Unix time.
 *
 * @param request number of the request, the same for all of its tries
 * @param number number of the try, from 0
 * @param id what {@code X-Request-ID} said
 * @param key what {@code Idempotency-Key} said, or null
 * @param requestClass class of the request
 * @param tenant its tenant, or null
 * @param client number of the client
 * @param intended when the schedule had the request's first try be sent
 * @param sent when this try was sent
 * @param ended when its last byte came, or when the client gave it up
 * @param timeout how long the client said that it would wait
 * @param outcome how it ended
 * @param status the status of the answer, 0 without one
 * @param retryAfter what {@code Retry-After} said, 0 without one
 * @param last whether the request ended with it
 */
public record ClientAttempt(
        long request,
        int number,
        String id,
        String key,
        String requestClass,
        String tenant,
        int client,
        long intended,
        long sent,
        long ended,
        long timeout,
        ClientOutcome outcome,
        int status,
        long retryAfter,
        boolean last)
        implements LogRecord {
    static final String KIND = "try";

    @Override
    public void write(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("k", KIND);
        json.writeNumberField("request", request);
        json.writeNumberField("try", number);
        json.writeStringField("id", id);
        if (key != null) {
            json.writeStringField("key", key);
        }
        json.writeStringField("class", requestClass);
        if (tenant != null) {
            json.writeStringField("tenant", tenant);
        }
        json.writeNumberField("client", client);
        json.writeNumberField("intended", intended);
        json.writeNumberField("sent", sent);
        json.writeNumberField("ended", ended);
        json.writeNumberField("timeout", timeout);
        json.writeStringField("outcome", outcome.name());
        if (status != 0) {
            json.writeNumberField("status", status);
        }
        if (retryAfter != 0) {
            json.writeNumberField("retry_after", retryAfter);
        }
        json.writeBooleanField("last", last);
        json.writeEndObject();
    }

    static ClientAttempt read(JsonNode node) {
        return new ClientAttempt(
                JsonFields.whole(node, "request"),
                (int) JsonFields.whole(node, "try"),
                JsonFields.text(node, "id"),
                JsonFields.textOrNull(node, "key"),
                JsonFields.text(node, "class"),
                JsonFields.textOrNull(node, "tenant"),
                (int) JsonFields.whole(node, "client"),
                JsonFields.whole(node, "intended"),
                JsonFields.whole(node, "sent"),
                JsonFields.whole(node, "ended"),
                JsonFields.whole(node, "timeout"),
                JsonFields.choice(node, "outcome", ClientOutcome.class),
                node.path("status").asInt(0),
                node.path("retry_after").asLong(0),
                node.path("last").asBoolean(true));
    }
}
