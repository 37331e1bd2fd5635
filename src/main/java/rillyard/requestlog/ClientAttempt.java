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
 * @param type class of the request
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
        String type,
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
    public void write(JsonGenerator g) throws IOException {
        g.writeStartObject();
        g.writeStringField("k", KIND);
        g.writeNumberField("request", request);
        g.writeNumberField("try", number);
        g.writeStringField("id", id);
        if (key != null) {
            g.writeStringField("key", key);
        }
        g.writeStringField("class", type);
        if (tenant != null) {
            g.writeStringField("tenant", tenant);
        }
        g.writeNumberField("client", client);
        g.writeNumberField("intended", intended);
        g.writeNumberField("sent", sent);
        g.writeNumberField("ended", ended);
        g.writeNumberField("timeout", timeout);
        g.writeStringField("outcome", outcome.name());
        if (status != 0) {
            g.writeNumberField("status", status);
        }
        if (retryAfter != 0) {
            g.writeNumberField("retry_after", retryAfter);
        }
        g.writeBooleanField("last", last);
        g.writeEndObject();
    }

    static ClientAttempt read(JsonNode n) {
        return new ClientAttempt(
                JsonFields.whole(n, "request"),
                (int) JsonFields.whole(n, "try"),
                JsonFields.text(n, "id"),
                JsonFields.textOrNull(n, "key"),
                JsonFields.text(n, "class"),
                JsonFields.textOrNull(n, "tenant"),
                (int) JsonFields.whole(n, "client"),
                JsonFields.whole(n, "intended"),
                JsonFields.whole(n, "sent"),
                JsonFields.whole(n, "ended"),
                JsonFields.whole(n, "timeout"),
                JsonFields.choice(n, "outcome", ClientOutcome.class),
                n.path("status").asInt(0),
                n.path("retry_after").asLong(0),
                n.path("last").asBoolean(true));
    }
}
