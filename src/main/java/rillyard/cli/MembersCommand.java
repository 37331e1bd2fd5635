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

@Command(
        name = "members",
        description =
                "Shows what one process of a fleet holds of the others: who lives, since when, by whose word, and what it costs.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class MembersCommand implements Callable<Integer> {
    private static final int EVERY_MS = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--admin",
            required = true,
            converter = SocketAddressConverter.class,
            description = "The process's `admin` of its fleet.toml, IP:port.")
    private InetSocketAddress admin;

    @Option(names = "--watch", description = "Goes on with a line for each change until it is ended.")
    private boolean watch;

    @Option(names = "--json", description = "All of it as JSON, one line.")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        JsonNode view = MemberAdminClient.fetchView(admin);
        if (json) {
            out.println(view);
        } else {
            table(view, out);
        }
        if (watch) {
            CountDownLatch end = new CountDownLatch(1);
            GracefulShutdown ending = new GracefulShutdown(end::countDown);
            Map<String, String> before = beliefs(view);
            while (!end.await(EVERY_MS, TimeUnit.MILLISECONDS)) {
                Map<String, String> now = beliefs(MemberAdminClient.fetchView(admin));
                changes(before, now).forEach(out::println);
                before = now;
            }
            ending.over();
        }
        return Cli.DONE;
    }

    private static void table(JsonNode view, PrintWriter out) {
        JsonNode self = view.path("self");
        long at = view.path("at").asLong();
        out.printf(
                Locale.ROOT,
                "%s holds %d present, itself among them%s%n",
                self.path("name").asText(),
                view.path("present").asInt(),
                view.path("over").asBoolean() ? "; it is silent: another has its name" : "");
        out.printf(
                "%-16s %-21s %4s %6s %-7s %-7s %9s  %s%n",
                "name", "address", "zone", "region", "status", "loop", "for s", "by");
        row(self, "-", "itself", out);
        for (JsonNode node : view.path("members")) {
            row(
                    node,
                    String.format(Locale.ROOT, "%.1f", (at - node.path("since").asLong()) / 1e3),
                    node.path("by").asText(),
                    out);
        }
        JsonNode c = view.path("costs");
        double up = Math.max(1, c.path("up_ms").asDouble()) / 1e3;
        out.printf(
                Locale.ROOT,
                "a second, over %.0f s: %.1f datagrams and %.0f bytes sent, %.1f and %.0f received; %d turned away;"
                        + " its thread busy %.2f %% of the time%n",
                up,
                c.path("datagrams_sent").asLong() / up,
                c.path("bytes_sent").asLong() / up,
                c.path("datagrams_received").asLong() / up,
                c.path("bytes_received").asLong() / up,
                c.path("turned_away").asLong(),
                c.path("busy_ms").asLong() / up / 10);
    }

    private static void row(JsonNode node, String seconds, String by, PrintWriter out) {
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

    private static Map<String, String> beliefs(JsonNode view) {
        Map<String, String> out = new TreeMap<>();
        for (JsonNode node : view.path("members")) {
            out.put(
                    node.path("name").asText(),
                    node.path("status").asText() + ", loop " + node.path("loop").asText() + ", by "
                            + node.path("by").asText());
        }
        return out;
    }

    private static java.util.List<String> changes(Map<String, String> before, Map<String, String> now) {
        java.util.List<String> out = new java.util.ArrayList<>();
        now.forEach((name, is) -> {
            String was = before.get(name);
            if (!is.equals(was)) {
                out.add(java.time.Instant.now() + " " + name + " is " + is
                        + (was == null ? " (new)" : " (was " + was + ")"));
            }
        });
        before.keySet().stream()
                .filter(n -> !now.containsKey(n))
                .forEach(n -> out.add(java.time.Instant.now() + " " + n + " is forgotten"));
        return out;
    }
}
