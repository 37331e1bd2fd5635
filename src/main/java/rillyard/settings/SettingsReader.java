package rillyard.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rillyard.balancer.Settings;

/** Reads the settings of an instance; what is not known is skipped, what is absent is harmless. */
public final class SettingsReader {
    private SettingsReader() {}

    public static Settings read(String conf) {
        JsonNode root;
        try {
            root = JsonTreeReader.read(conf);
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("malformed conf: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new IllegalStateException("a string has no input that could fail", e);
        }
        return read(root);
    }

    /**
     * Reads settings that are parsed already.
     *
     * @throws MalformedInputException if they are no JSON object
     */
    public static Settings read(JsonNode root) {
        if (root == null || !root.isObject()) {
            throw new MalformedInputException("malformed conf: not a JSON object");
        }
        List<Settings.RequestClass> classes = new ArrayList<>();
        for (JsonNode node : root.path("classes")) {
            classes.add(requestClass(node));
        }
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (JsonNode t : root.path("tenants")) {
            tenants.add(new Settings.Tenant(
                    t.path("name").asText(), t.path("portion").asDouble(0)));
        }
        JsonNode limits = root.path("limits");
        JsonNode rules = root.path("rules");
        JsonNode zone = root.path("zone");
        return new Settings(
                classes,
                tenants,
                new Settings.Limits(
                        limits.path("cancel").asBoolean(false),
                        limits.path("parallelTries").asBoolean(false),
                        limits.path("maxAttempts").asInt(1)),
                new Settings.Rules(
                        rules.path("cold").asDouble(0),
                        rules.path("startCapacity").asDouble(1),
                        rules.path("fall").asDouble(0),
                        rules.path("fallMultiple").asDouble(1),
                        rules.path("askWithin").asDouble(0)),
                root.path("membershipMode").asText("automatic").equals("subscribe"),
                zone.isTextual() ? zone.asText() : null,
                root.path("position").asInt(0),
                root.path("balancers").asInt(1),
                root.path("overShareWorth").asDouble(1));
    }

    private static Settings.RequestClass requestClass(JsonNode node) {
        double deadline = node.path("deadline").asDouble(1000);
        Settings.Semantics semantics =
                switch (node.path("semantics").asText()) {
                    case "idempotent" -> Settings.Semantics.IDEMPOTENT;
                    case "deduplicated" -> Settings.Semantics.DEDUPLICATED;
                    default -> Settings.Semantics.AT_MOST_ONCE; // the strictest, where a name is new
                };
        Settings.Scope scope =
                switch (node.path("keyScope").asText()) {
                    case "all" -> Settings.Scope.ALL;
                    case "zone" -> Settings.Scope.ZONE;
                    default -> Settings.Scope.CELL;
                };
        return new Settings.RequestClass(
                node.path("name").asText(),
                Math.max(1, node.path("aim").asDouble(deadline)),
                deadline,
                semantics,
                scope,
                node.path("repeatWindow").asDouble(0),
                node.path("value").asDouble(1),
                node.path("lateWorth").asDouble(0));
    }
}
