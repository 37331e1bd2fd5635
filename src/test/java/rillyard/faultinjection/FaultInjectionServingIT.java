package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.RequestLogReader;

/** Runs six processes of the built jar under load while their connections to hosts fail and processes are stopped. */
@Timeout(150)
class FaultInjectionServingIT {
    private static final String PLAN =
            """
      seed = 3
      processes = 6
      zones = 2
      hosts = "hosts.toml"
      load = "load.toml"
      [[fault]]
      at_s = 2
      kind = "refused"
      on = "zone:0"
      hosts = "s-0"
      for_s = 4
      [[fault]]
      at_s = 4
      kind = "silent"
      on = "m1"
      hosts = "s-1,discovery"
      for_s = 3
      [[fault]]
      at_s = 6
      kind = "reset"
      on = "zone:1"
      hosts = "s-2"
      for_s = 2
      [[fault]]
      at_s = 7
      kind = "slow"
      on = "all"
      hosts = "s-3"
      late_ms = 30
      for_s = 3
      [[fault]]
      at_s = 9
      kind = "restart"
      on = "m4"
      [[fault]]
      at_s = 10
      kind = "starve"
      on = "m5"
      share = 0.5
      for_s = 3
      """;

    @TempDir
    Path folder;

    @Test
    void noViolationWhileConnectionsToHostsFailAndProcessesStop() throws Exception {
        Files.writeString(folder.resolve("hosts.toml"), "seed = 3\n[hosts]\ncount = 6\n");
        Files.writeString(
                folder.resolve("load.toml"),
                "seed = 3\n[clients]\ncount = 60\n[[shape]]\nkind = \"poisson\"\nfor_s = 18\nrate = 150\n");
        LaunchCommand built = LaunchCommand.platform(Path.of("").toAbsolutePath());
        Path out = folder.resolve("trial");
        FaultInjectionResult result =
                new FaultInjectionRun(FaultInjectionPlanReader.parse("plan", PLAN, folder), out, System.out).run(built);
        assertThat(result.survivors()).hasSize(6);
        assertThat(result.isClean()).as(result.report()).isTrue();
        assertThat(result.audit().verdict().attempts()).isGreaterThan(2_000);
        assertThat(result.audit().abandonedAttempts())
                .as(result.report())
                .isBetween(1, result.audit().verdict().attempts() / 4);
        assertThat(out.resolve("report.html")).content().contains("refused zone:0 to hosts s-0");
        assertThat(result.imbalance().windows()).as(result.report()).hasSizeGreaterThan(10);
        assertThat(result.report()).contains("largest over mean", "herds: ", "idle hosts: ");
        assertThat(Files.readAllLines(out.resolve("history.jsonl"))).hasSizeGreaterThan(36);
        // No port may be in the ephemeral range: a relay or a connection could take it while its process is restarted.
        for (int i = 0; i < 6; i++) {
            String listen = new ObjectMapper()
                    .readTree(out.resolve("m" + i + ".json").toFile())
                    .path("listen")
                    .asText();
            assertThat(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)))
                    .isLessThan(32_768);
        }
        // Each client uses one proxy, so that requests of the clients of zone 1 can't reach the host that is
        // partitioned
        // from its proxies.
        long from = time(result, true) + 300;
        long until = time(result, false);
        Set<String> zone1 = new HashSet<>();
        RequestLogReader.read(out.resolve("clients.jsonl"), "clients", line -> {
            if (line instanceof ClientAttempt attempt && attempt.client() % 6 % 2 == 1) {
                zone1.add(attempt.requestId());
            }
        });
        int[] received = {0, 0};
        RequestLogReader.read(out.resolve("hosts.jsonl"), "hosts", logRecord -> {
            if (logRecord instanceof HostExecution execution
                    && execution.host().equals("s-2")
                    && execution.receivedAt() / 1_000 > from
                    && execution.receivedAt() / 1_000 < until) {
                received[zone1.contains(execution.requestId()) ? 1 : 0]++;
            }
        });
        assertThat(received[0]).as("by the other zone").isPositive();
        assertThat(received[1]).as("by the zone that is reset").isZero();
    }

    private static long time(FaultInjectionResult result, boolean begin) {
        return result.executedSteps().stream()
                .filter(done -> done.fault().kind() == InjectedFault.Kind.RESET && done.begins() == begin)
                .findFirst()
                .orElseThrow()
                .at();
    }
}
