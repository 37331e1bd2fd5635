package rillyard.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Validates settings, so that a proxy doesn't run with an unintended deadline or idempotency window. A key that is
 * absent, null or unknown is valid; a value that {@link SettingsReader} would have to replace by a default is not.
 */
public final class SettingsValidator {
    /** Maximum time that settings may contain, about eleven days. */
    private static final double MAX_MILLIS = 1e9;

    private static final double MAX_NUMBER = Integer.MAX_VALUE;
    private static final int MAX_SHOWN_CHARS = 60;

    private SettingsValidator() {}

    /**
     * Validates the settings of a proxy.
     *
     * @throws MalformedInputException if a value can't be used; the message contains the key, the expected value and
     *     the actual one
     */
    public static void check(JsonNode settings) {
        if (settings == null || !settings.isObject()) {
            throw new MalformedInputException("settings: expected a JSON object");
        }
        checkClasses(list(settings, "classes"));
        checkInteger(settings, "", "balancers", 1, MAX_NUMBER);
        checkInteger(settings, "", "position", 0, MAX_NUMBER);
        checkNumber(settings, "", "overShareWorth", 0, MAX_NUMBER);
        JsonNode limits = object(settings, "limits");
        checkInteger(limits, "limits.", "maxAttempts", 1, MAX_NUMBER);
        checkInteger(limits, "limits.", "maxOpen", 1, MAX_NUMBER);
        checkTime(limits, "limits.", "connIdle", 1);
        checkTime(limits, "limits.", "connectTimeout", 1);
        checkTime(limits, "limits.", "maxRetryAfter", 0);
        JsonNode rules = object(settings, "rules");
        checkTime(rules, "rules.", "cold", 0);
        checkTime(rules, "rules.", "fall", 0);
        checkTime(rules, "rules.", "drainGrace", 0);
        checkTime(rules, "rules.", "askWithin", 0);
        checkNumber(rules, "rules.", "startCapacity", 0, 1);
        checkNumber(rules, "rules.", "fallMultiple", 0, MAX_NUMBER);
        JsonNode tenants = list(settings, "tenants");
        for (int i = 0; i < tenants.size(); i++) {
            checkNumber(tenants.get(i), "tenants[" + i + "].", "portion", 0, MAX_NUMBER);
        }
    }

    private static void checkClasses(JsonNode classes) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            JsonNode node = classes.get(i);
            String prefix = "classes[" + i + "].";
            JsonNode name = node.path("name");
            if (!name.isTextual() || name.asText().isBlank() || !names.add(name.asText())) {
                throw invalidValue(prefix + "name", "a non-blank string that is unique among the class names", name);
            }
            checkTime(node, prefix, "deadline", 1);
            checkTime(node, prefix, "aim", 0);
            checkTime(node, prefix, "repeatWindow", 0);
            checkNumber(node, prefix, "value", 0, MAX_NUMBER);
            checkNumber(node, prefix, "lateWorth", 0, MAX_NUMBER);
        }
    }

    private static JsonNode object(JsonNode parent, String key) {
        JsonNode node = parent.path(key);
        if (!isAbsent(node) && !node.isObject()) {
            throw invalidValue(key, "an object", node);
        }
        return node;
    }

    private static JsonNode list(JsonNode parent, String key) {
        JsonNode node = parent.path(key);
        if (!isAbsent(node) && !node.isArray()) {
            throw invalidValue(key, "a list", node);
        }
        return node;
    }

    private static void checkTime(JsonNode parent, String prefix, String key, double min) {
        checkNumber(parent, prefix, key, min, MAX_MILLIS);
    }

    private static void checkInteger(JsonNode parent, String prefix, String key, double min, double max) {
        checkNumber(parent, prefix, key, min, max);
        JsonNode node = parent.path(key);
        if (!isAbsent(node) && node.asDouble() != Math.rint(node.asDouble())) {
            throw invalidValue(prefix + key, "a whole number", node);
        }
    }

    private static void checkNumber(JsonNode parent, String prefix, String key, double min, double max) {
        JsonNode node = parent.path(key);
        if (!isAbsent(node) && !(node.isNumber() && node.asDouble() >= min && node.asDouble() <= max)) {
            throw invalidValue(prefix + key, String.format(Locale.ROOT, "a number from %.0f to %.0f", min, max), node);
        }
    }

    private static boolean isAbsent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static MalformedInputException invalidValue(String key, String expected, JsonNode actual) {
        String shown = actual.isMissingNode() ? "nothing" : actual.toString();
        return new MalformedInputException("settings." + key + ": expected " + expected + ", found "
                + (shown.length() > MAX_SHOWN_CHARS ? shown.substring(0, MAX_SHOWN_CHARS) + "..." : shown));
    }
}
