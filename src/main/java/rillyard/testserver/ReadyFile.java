package rillyard.testserver;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * Builds the JSON that a test cluster publishes when it is ready: a proxy configuration, and the addresses of hosts,
 * discovery and fault control.
 */
final class ReadyFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ReadyFile() {}

    /** Returns the JSON of a cluster with these entries. */
    static ObjectNode of(
            TestClusterPlan plan,
            List<EndpointCatalog.Entry> entries,
            InetSocketAddress discovery,
            InetSocketAddress control) {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", "n0")
                .put("listen", "127.0.0.1:0")
                .put("discovery", text(discovery))
                .put("seed", Long.toHexString(plan.seed()));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 128).put("sockets", 1_024);
        root.set("known", list(entries));
        root.set("settings", settings(plan));
        root.put("control", text(control));
        ArrayNode hosts = root.putArray("hosts");
        entries.forEach(entry -> hosts.addObject().put("id", entry.spec().id()).put("addr", entry.address()));
        return root;
    }

    private static JsonNode list(List<EndpointCatalog.Entry> entries) {
        try {
            return JSON.readTree(new EndpointCatalog(entries).fullList(UnaryOperator.identity()));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IllegalStateException(e); // unreachable: the text was generated as JSON
        }
    }

    private static ObjectNode settings(TestClusterPlan plan) {
        HostSpec firstHost = plan.hosts().get(0);
        ObjectNode settings = JSON.createObjectNode();
        settings.put("balancers", 1).put("position", 0).put("membershipMode", "automatic");
        settings.put("zone", firstHost.zone());
        ArrayNode zones = settings.putArray("zones");
        plan.hosts().stream().map(HostSpec::zone).distinct().forEach(zones::add);
        addClasses(plan, settings.putArray("classes"));
        addLimits(plan, settings.putObject("limits"));
        addReport(plan, settings.putObject("report"));
        TestClusterPlan.Rules rules = plan.rules();
        settings.putObject("rules")
                .put("answerSlack", 20.0)
                .put("drainGrace", rules.drainGraceMillis())
                .put("cold", firstHost.warmUpMillis())
                .put("startCapacity", firstHost.initialCapacityShare())
                .put("fall", rules.overloadWindowMillis())
                .put("fallMultiple", rules.overloadMultiple());
        settings.putArray("tenants");
        return settings;
    }

    private static void addClasses(TestClusterPlan plan, ArrayNode classes) {
        for (RequestClassSpec spec : plan.classes()) {
            classes.addObject()
                    .put("name", spec.name())
                    .put("aim", spec.latencyObjectiveMillis())
                    .put("deadline", spec.deadlineMillis())
                    .put("semantics", spec.semantics().setting())
                    .put("keyScope", spec.scope().setting())
                    .put("repeatWindow", spec.idempotencyWindowMillis())
                    .put("value", spec.priorityWeight());
        }
    }

    private static void addLimits(TestClusterPlan plan, ObjectNode limits) {
        limits.put("cancel", true)
                .put("connIdle", plan.hosts().get(0).idleMillis())
                .put("connectTimeout", plan.rules().connectTimeoutMillis())
                .put("maxAttempts", plan.rules().maxAttempts())
                .put("maxOpen", 20_000)
                .put("parallelTries", true)
                .put("probes", true)
                .put("retryAfter", true)
                .put("maxRetryAfter", 2_000)
                .put("streamsPerConn", 1);
    }

    private static void addReport(TestClusterPlan plan, ObjectNode report) {
        report.put("how", plan.reportFields().isEmpty() ? "none" : "answers");
        ArrayNode fields = report.putArray("fields");
        plan.reportFields().forEach(fields::add);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
