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
 * The values of the rules, in microseconds.
 *
 * @param classes by name
 * @param answerSlack how long past a client's time an answer is still in time
 * @param drainGrace how long after it was told a proxy may send to a host that drains
 * @param maxNotificationDelay past this a change counts as told, whether or not it arrived
 * @param socketSlack what every limit of time is longer by, on sockets
 * @param overloadWindow window of the warming-up host's budget
 * @param overloadMultiple how often its present capacity may be sent to it within the window
 */
public record AuditSettings(
        Map<String, RequestClass> classes,
        long answerSlack,
        long drainGrace,
        long maxNotificationDelay,
        long socketSlack,
        long overloadWindow,
        double overloadMultiple) {

    /** What may be repeated. */
    public enum Semantics {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** The hosts that share the memory of keys. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** A class; {@code window} is how long keys are remembered. */
    public record RequestClass(String name, Semantics semantics, Scope keyScope, long idempotencyWindow) {}

    /** Copies the classes. */
    public AuditSettings {
        classes = Map.copyOf(classes);
    }

    private static final long SOCKET_SLACK = 50_000;
    private static final long MAX_NOTIFICATION_DELAY = 6_000_000;

    /**
     * Reads the platform's settings from a file that holds them, or that holds them under
     * {@code settings}, as a proxy's configuration does.
     *
     * @throws InvalidConfigException if it holds none
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

    /** Reads settings that are parsed already. */
    public static AuditSettings of(JsonNode settings) {
        Map<String, RequestClass> classes = new HashMap<>();
        for (JsonNode node : settings.path("classes")) {
            Semantics semantics =
                    switch (node.path("semantics").asText()) {
                        case "idempotent" -> Semantics.IDEMPOTENT;
                        case "deduplicated" -> Semantics.DEDUPLICATED;
                        default -> Semantics.AT_MOST_ONCE; // the strictest, where a name is new
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
                MAX_NOTIFICATION_DELAY,
                SOCKET_SLACK,
                micros(rules.path("fall").asDouble(1_500)),
                rules.path("fallMultiple").asDouble(3));
    }

    private static long micros(double millis) {
        return (long) (1_000 * millis);
    }

    /** The class of a name; one that is not known is taken for the strictest kind. */
    RequestClass requestClass(String name) {
        return classes.getOrDefault(name, new RequestClass(name, Semantics.AT_MOST_ONCE, Scope.CELL, 0));
    }
}
