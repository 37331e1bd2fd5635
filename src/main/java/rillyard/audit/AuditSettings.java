package rillyard.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import rillyard.config.InvalidConfigException;

/**
 * The limits that the rules apply; durations are in microseconds.
 *
 * @param classes request classes by name
 * @param answerSlackMicros time after a client's timeout during which a response still counts as in time
 * @param drainGraceMicros time after the notification during which a proxy may still send to a draining host
 * @param maxNotificationDelayMicros time after which a change counts as notified even without a notification
 * @param socketSlackMicros tolerance added to every time limit for delays in sockets
 * @param overloadWindowMicros length of the window in which the work of a warming-up host is summed
 * @param overloadMultiple multiple of its current capacity that a warming-up host may be sent within the window
 */
public record AuditSettings(
        Map<String, RequestClass> classes,
        long answerSlackMicros,
        long drainGraceMicros,
        long maxNotificationDelayMicros,
        long socketSlackMicros,
        long overloadWindowMicros,
        double overloadMultiple) {

    /** Whether a request may be executed more than once. */
    public enum Semantics {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** The set of hosts that share idempotency keys. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A request class.
     *
     * @param name name of the class
     * @param semantics whether its requests may be executed more than once
     * @param keyScope the hosts that share its idempotency keys
     * @param idempotencyWindowMicros time for which hosts remember a key
     */
    public record RequestClass(String name, Semantics semantics, Scope keyScope, long idempotencyWindowMicros) {}

    /** Copies the classes, so that the settings never change. */
    public AuditSettings {
        classes = Map.copyOf(classes);
    }

    private static final long SOCKET_SLACK_MICROS = 50_000;
    private static final long MAX_NOTIFICATION_DELAY_MICROS = 6_000_000;

    /**
     * Reads the platform's settings from a JSON file that holds them, either as its root or under {@code settings}, as
     * a proxy's configuration does.
     *
     * @throws InvalidConfigException if the file can't be read or has no settings with classes
     */
    public static AuditSettings read(Path file) throws InvalidConfigException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidConfigException(file.toString(), line, "not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), 0, "can't be read: " + e);
        }
        JsonNode settings = root.has("settings") ? root.get("settings") : root;
        if (!settings.path("classes").isArray() || settings.path("classes").isEmpty()) {
            throw new InvalidConfigException(
                    file.toString(), 0, "expected settings with a list of classes that is not empty");
        }
        return of(settings);
    }

    /** Creates audit settings from parsed platform settings; absent limits have their defaults. */
    public static AuditSettings of(JsonNode settings) {
        Map<String, RequestClass> classes = new HashMap<>();
        for (JsonNode node : settings.path("classes")) {
            Semantics semantics =
                    switch (node.path("semantics").asText()) {
                        case "idempotent" -> Semantics.IDEMPOTENT;
                        case "deduplicated" -> Semantics.DEDUPLICATED;
                        default -> Semantics.AT_MOST_ONCE; // unknown semantics count as the strictest ones
                    };
            Scope scope =
                    switch (node.path("keyScope").asText()) {
                        case "all" -> Scope.ALL;
                        case "zone" -> Scope.ZONE;
                        default -> Scope.CELL;
                    };
            String name = node.path("name").asText();
            classes.put(
                    name,
                    new RequestClass(
                            name,
                            semantics,
                            scope,
                            micros(node.path("repeatWindow").asDouble(0))));
        }
        JsonNode rules = settings.path("rules");
        return new AuditSettings(
                classes,
                micros(rules.path("answerSlack").asDouble(20)),
                micros(rules.path("drainGrace").asDouble(500)),
                MAX_NOTIFICATION_DELAY_MICROS,
                SOCKET_SLACK_MICROS,
                micros(rules.path("fall").asDouble(1_500)),
                rules.path("fallMultiple").asDouble(3));
    }

    private static long micros(double millis) {
        return (long) (1_000 * millis);
    }

    /** Returns the class with this name; an unknown class has the strictest semantics. */
    RequestClass requestClass(String name) {
        return classes.getOrDefault(name, new RequestClass(name, Semantics.AT_MOST_ONCE, Scope.CELL, 0));
    }
}
