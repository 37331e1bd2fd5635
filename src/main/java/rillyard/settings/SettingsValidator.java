package rillyard.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Tells settings that can't be used from those that can, by key. What is absent, null or not known is no
 * fault; a value that {@link SettingsReader} would have to replace by a guess is one. Guards against a proxy
 * that serves for days on a deadline or a repeat window that nobody meant.
 */
public final class SettingsValidator {
    /** The longest time (ms) that settings may state: some eleven days. */
    private static final double LONGEST_MS = 1e9;

    private static final double MOST = Integer.MAX_VALUE;

    private SettingsValidator() {}

    /**
     * Checks the settings of a proxy.
     *
     * @throws MalformedInputException if they can't be used; the message names the key, what was expected there
     *     and what was found
     */
    public static void check(JsonNode settings) {
        if (settings == null || !settings.isObject()) {
            throw new MalformedInputException("settings: expected a JSON object");
        }
        classes(list(settings, "classes"));
        whole(settings, "", "balancers", 1, MOST);
        whole(settings, "", "position", 0, MOST);
        number(settings, "", "overShareWorth", 0, MOST);
        JsonNode limits = object(settings, "limits");
        whole(limits, "limits.", "maxAttempts", 1, MOST);
        whole(limits, "limits.", "maxOpen", 1, MOST);
        time(limits, "limits.", "connIdle", 1);
        time(limits, "limits.", "connectTimeout", 1);
        time(limits, "limits.", "maxRetryAfter", 0);
        JsonNode rules = object(settings, "rules");
        time(rules, "rules.", "cold", 0);
        time(rules, "rules.", "fall", 0);
        time(rules, "rules.", "drainGrace", 0);
        time(rules, "rules.", "askWithin", 0);
        number(rules, "rules.", "startCapacity", 0, 1);
        number(rules, "rules.", "fallMultiple", 0, MOST);
        JsonNode tenants = list(settings, "tenants");
        for (int i = 0; i < tenants.size(); i++) {
            number(tenants.get(i), "tenants[" + i + "].", "portion", 0, MOST);
        }
    }

    private static void classes(JsonNode classes) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            JsonNode node = classes.get(i);
            String where = "classes[" + i + "].";
            JsonNode name = node.path("name");
            if (!name.isTextual() || name.asText().isBlank() || !names.add(name.asText())) {
                throw invalid(where + "name", "a name that no other class has", name);
            }
            time(node, where, "deadline", 1);
            time(node, where, "aim", 0);
            time(node, where, "repeatWindow", 0);
            number(node, where, "value", 0, MOST);
            number(node, where, "lateWorth", 0, MOST);
        }
    }

    private static JsonNode object(JsonNode parent, String key) {
        JsonNode node = parent.path(key);
        if (!absent(node) && !node.isObject()) {
            throw invalid(key, "an object", node);
        }
        return node;
    }

    private static JsonNode list(JsonNode parent, String key) {
        JsonNode node = parent.path(key);
        if (!absent(node) && !node.isArray()) {
            throw invalid(key, "a list", node);
        }
        return node;
    }

    private static void time(JsonNode parent, String where, String key, double least) {
        number(parent, where, key, least, LONGEST_MS);
    }

    private static void whole(JsonNode parent, String where, String key, double least, double most) {
        number(parent, where, key, least, most);
        JsonNode node = parent.path(key);
        if (!absent(node) && node.asDouble() != Math.rint(node.asDouble())) {
            throw invalid(where + key, "a whole number", node);
        }
    }

    private static void number(JsonNode parent, String where, String key, double least, double most) {
        JsonNode node = parent.path(key);
        if (!absent(node) && !(node.isNumber() && node.asDouble() >= least && node.asDouble() <= most)) {
            throw invalid(where + key, String.format(Locale.ROOT, "a number from %.0f to %.0f", least, most), node);
        }
    }

    private static boolean absent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static MalformedInputException invalid(String key, String expected, JsonNode found) {
        String shown = found.isMissingNode() ? "nothing" : found.toString();
        return new MalformedInputException("settings." + key + ": expected " + expected + ", found "
                + (shown.length() > 60 ? shown.substring(0, 60) + "..." : shown));
    }
}
