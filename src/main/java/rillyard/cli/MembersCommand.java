package rillyard.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rillyard.membership.net.MemberAdminClient;

/** Shows the membership view of one process. */
@Command(
        name = "members",
        description =
                "Shows the members that one process knows: their status, since when and from whom, and what it costs.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class MembersCommand implements Callable<Integer> {
    private static final int POLL_INTERVAL_MS = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--admin",
            required = true,
            converter = SocketAddressConverter.class,
            description = "The `admin` address in the fleet.toml of the process, IP:port.")
    private InetSocketAddress admin;

    @Option(names = "--watch", description = "Continues with a line for each change until interrupted.")
    private boolean watch;

    @Option(names = "--json", description = "Prints the whole view as JSON on one line.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        JsonNode view = MemberAdminClient.fetchView(admin);
        if (json) {
            out.println(view);
        } else {
            printTable(view, out);
        }
        if (watch) {
            CountDownLatch stopSignal = new CountDownLatch(1);
            GracefulShutdown shutdown = new GracefulShutdown(stopSignal::countDown);
            Map<String, String> previous = memberStates(view);
            while (!stopSignal.await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                Map<String, String> current = memberStates(MemberAdminClient.fetchView(admin));
                changes(previous, current).forEach(out::println);
                previous = current;
            }
            shutdown.complete();
        }
        return Cli.DONE;
    }

    private static void printTable(JsonNode view, PrintWriter out) {
        JsonNode self = view.path("self");
        long atUnixMillis = view.path("at").asLong();
        out.printf(
                Locale.ROOT,
                "%s holds %d present members, including itself%s%n",
                self.path("name").asText(),
                view.path("present").asInt(),
                view.path("over").asBoolean() ? "; it has stopped sending: another process has its name" : "");
        out.printf(
                "%-16s %-21s %4s %6s %-7s %-7s %9s  %s%n",
                "name", "address", "zone", "region", "status", "loop", "for s", "by");
        printRow(self, "-", "itself", out);
        for (JsonNode node : view.path("members")) {
            printRow(
                    node,
                    String.format(
                            Locale.ROOT,
                            "%.1f",
                            (atUnixMillis - node.path("since").asLong()) / 1e3),
                    node.path("by").asText(),
                    out);
        }
        JsonNode usage = view.path("costs");
        double uptimeSeconds = Math.max(1, usage.path("up_ms").asDouble()) / 1e3;
        out.printf(
                Locale.ROOT,
                "per second, over %.0f s: %.1f datagrams and %.0f bytes sent, %.1f and %.0f received; %d rejected;"
                        + " its thread busy %.2f %% of the time%n",
                uptimeSeconds,
                usage.path("datagrams_sent").asLong() / uptimeSeconds,
                usage.path("bytes_sent").asLong() / uptimeSeconds,
                usage.path("datagrams_received").asLong() / uptimeSeconds,
                usage.path("bytes_received").asLong() / uptimeSeconds,
                usage.path("turned_away").asLong(),
                usage.path("busy_ms").asLong() / uptimeSeconds / 10);
    }

    private static void printRow(JsonNode node, String seconds, String by, PrintWriter out) {
        out.printf(
                "%-16s %-21s %4d %6d %-7s %-7s %9s  %s%n",
                node.path("name").asText(),
                node.path("address").asText(),
                node.path("zone").asInt(),
                node.path("region").asInt(),
                node.path("status").asText(),
                node.path("loop").asText(),
                seconds,
                by);
    }

    private static Map<String, String> memberStates(JsonNode view) {
        Map<String, String> states = new TreeMap<>();
        for (JsonNode node : view.path("members")) {
            states.put(
                    node.path("name").asText(),
                    node.path("status").asText() + ", loop " + node.path("loop").asText() + ", by "
                            + node.path("by").asText());
        }
        return states;
    }

    private static java.util.List<String> changes(Map<String, String> previous, Map<String, String> current) {
        java.util.List<String> lines = new java.util.ArrayList<>();
        current.forEach((name, state) -> {
            String previousState = previous.get(name);
            if (!state.equals(previousState)) {
                lines.add(java.time.Instant.now() + " " + name + " is " + state
                        + (previousState == null ? " (new)" : " (was " + previousState + ")"));
            }
        });
        previous.keySet().stream()
                .filter(name -> !current.containsKey(name))
                .forEach(name -> lines.add(java.time.Instant.now() + " " + name + " is forgotten"));
        return lines;
    }
}
