package rillyard.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rillyard.balancer.Settings;

/**
 * Reads the settings of a proxy. Keys that are unknown or no longer used are skipped, and absent values have harmless
 * defaults. Values that can't be used are reported by {@link SettingsValidator}.
 */
public final class SettingsReader {
    private static final double DEFAULT_DEADLINE_MILLIS = 1_000;

    private SettingsReader() {}

    /**
     * Reads settings from JSON text.
     *
     * @throws MalformedInputException if the text is not a JSON object
     */
    public static Settings read(String json) {
        JsonNode root;
        try {
            root = JsonTreeReader.read(json);
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("malformed settings (conf): " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IllegalStateException("reading from a string can't fail", e);
        }
        return read(root);
    }

    /**
     * Reads settings from parsed JSON.
     *
     * @throws MalformedInputException if {@code root} is null or not a JSON object
     */
    public static Settings read(JsonNode root) {
        if (root == null || !root.isObject()) {
            throw new MalformedInputException("settings: expected a JSON object");
        }
        List<Settings.RequestClass> classes = new ArrayList<>();
        for (JsonNode node : root.path("classes")) {
            classes.add(requestClass(node));
        }
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (JsonNode node : root.path("tenants")) {
            tenants.add(new Settings.Tenant(
                    node.path("name").asText(), node.path("portion").asDouble(0)));
        }
        JsonNode zone = root.path("zone");
        return new Settings(
                classes,
                tenants,
                limits(root.path("limits")),
                rules(root.path("rules")),
                root.path("membershipMode").asText("automatic").equals("subscribe"),
                zone.isTextual() ? zone.asText() : null,
                root.path("position").asInt(0),
                root.path("balancers").asInt(1),
                root.path("overShareWorth").asDouble(1));
    }

    private static Settings.Limits limits(JsonNode node) {
        return new Settings.Limits(
                node.path("cancel").asBoolean(false),
                node.path("parallelTries").asBoolean(false),
                node.path("maxAttempts").asInt(1));
    }

    private static Settings.Rules rules(JsonNode node) {
        return new Settings.Rules(
                node.path("cold").asDouble(0),
                node.path("startCapacity").asDouble(1),
                node.path("fall").asDouble(0),
                node.path("fallMultiple").asDouble(1),
                node.path("askWithin").asDouble(0));
    }

    private static Settings.RequestClass requestClass(JsonNode node) {
        double deadlineMillis = node.path("deadline").asDouble(DEFAULT_DEADLINE_MILLIS);
        return new Settings.RequestClass(
                node.path("name").asText(),
                Math.max(1, node.path("aim").asDouble(deadlineMillis)),
                deadlineMillis,
                semantics(node.path("semantics").asText()),
                scope(node.path("keyScope").asText()),
                node.path("repeatWindow").asDouble(0),
                node.path("value").asDouble(1),
                node.path("lateWorth").asDouble(0));
    }

    private static Settings.Semantics semantics(String value) {
        return switch (value) {
            case "idempotent" -> Settings.Semantics.IDEMPOTENT;
            case "deduplicated" -> Settings.Semantics.DEDUPLICATED;
            default -> Settings.Semantics.AT_MOST_ONCE; // the strictest one, for an unknown value
        };
    }

    private static Settings.Scope scope(String value) {
        return switch (value) {
            case "all" -> Settings.Scope.ALL;
            case "zone" -> Settings.Scope.ZONE;
            default -> Settings.Scope.CELL; // the strictest one, for an unknown value
        };
    }
}
