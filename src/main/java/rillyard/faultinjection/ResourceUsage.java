package rillyard.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rillyard.membership.net.MemberAdminClient;

/** Measures the cost of membership in the processes of a fault-injection run between construction and the report. */
final class ResourceUsage {
    private final ProcessFleet fleet;
    private final Map<String, JsonNode> first;

    ResourceUsage(ProcessFleet fleet) {
        this.fleet = fleet;
        this.first = poll();
    }

    private Map<String, JsonNode> poll() {
        Map<String, JsonNode> views = new HashMap<>();
        for (FleetProcess process : fleet.members()) {
            try {
                views.put(process.name(), MemberAdminClient.fetchView(fleet.adminAddress(process)));
            } catch (IOException e) {
                // it has ended or is stopped, and is left out
            }
        }
        return views;
    }

    /** Returns the costs since the construction as text; processes that were restarted meanwhile are left out. */
    String report() {
        List<Double> busy = new ArrayList<>();
        double datagrams = 0;
        double bytes = 0;
        for (Map.Entry<String, JsonNode> entry : poll().entrySet()) {
            JsonNode before = first.get(entry.getKey());
            if (before != null
                    && before.path("self")
                            .path("start")
                            .equals(entry.getValue().path("self").path("start"))) {
                double seconds = Math.max(0.001, increase(before, entry.getValue(), "up_ms") / 1e3);
                busy.add(increase(before, entry.getValue(), "busy_ms") / seconds / 10);
                datagrams += increase(before, entry.getValue(), "datagrams_sent") / seconds;
                bytes += increase(before, entry.getValue(), "bytes_sent") / seconds;
            }
        }
        if (busy.isEmpty()) {
            return "";
        }
        busy.sort(null);
        return String.format(
                Locale.ROOT,
                "membership: %.1f datagrams and %.0f bytes sent a second a member; its thread busy %.2f %%"
                        + " of the time (median), %.2f %% (most)%n",
                datagrams / busy.size(),
                bytes / busy.size(),
                busy.get(busy.size() / 2),
                busy.get(busy.size() - 1));
    }

    private static double increase(JsonNode before, JsonNode now, String field) {
        return now.path("costs").path(field).asDouble()
                - before.path("costs").path(field).asDouble();
    }
}
