package rillyard.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rillyard.membership.net.MemberAdminClient;

/** What membership costs the processes of a fault-injection run, from one look at them to the next. */
final class ResourceUsage {
    private final ProcessFleet fleet;
    private final Map<String, JsonNode> first;

    ResourceUsage(ProcessFleet fleet) {
        this.fleet = fleet;
        this.first = look();
    }

    private Map<String, JsonNode> look() {
        Map<String, JsonNode> out = new HashMap<>();
        for (FleetProcess process : fleet.members()) {
            try {
                out.put(process.name(), MemberAdminClient.fetchView(fleet.admin(process)));
            } catch (IOException e) {
                // it has ended, or stands still: it is left out
            }
        }
        return out;
    }

    /** The costs since the first look, in words; processes that are not the same ones any more are left out. */
    String words() {
        List<Double> busy = new ArrayList<>();
        double datagrams = 0;
        double bytes = 0;
        for (Map.Entry<String, JsonNode> e : look().entrySet()) {
            JsonNode before = first.get(e.getKey());
            if (before != null
                    && before.path("self")
                            .path("start")
                            .equals(e.getValue().path("self").path("start"))) {
                double s = Math.max(0.001, since(before, e.getValue(), "up_ms") / 1e3);
                busy.add(since(before, e.getValue(), "busy_ms") / s / 10);
                datagrams += since(before, e.getValue(), "datagrams_sent") / s;
                bytes += since(before, e.getValue(), "bytes_sent") / s;
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

    private static double since(JsonNode before, JsonNode now, String what) {
        return now.path("costs").path(what).asDouble()
                - before.path("costs").path(what).asDouble();
    }
}
