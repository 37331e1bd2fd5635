package rillyard.demo;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.audit.Violation;
import rillyard.loadgen.LoadPlanReader;
import rillyard.loadgen.LoadRun;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlanReader;

/**
 * Tests the audit on request logs of real runs without a proxy, in which rules are violated: clients keep sending to a
 * draining host, overload a warming-up host, lose their connections, and retry what must not be retried.
 */
class DemoAuditTest {
    @TempDir
    Path folder;

    private Set<Violation.Rule> violatedRules(String hosts, String plan) throws Exception {
        Path hostsFile = folder.resolve("h");
        Path clientsFile = folder.resolve("c");
        AuditSettings settings;
        PrintStream messages = System.err;
        try (RequestLogWriter hostLog = RequestLogWriter.open(hostsFile, new LogHeader("hosts", 1, 1));
                RequestLogWriter requestLog = RequestLogWriter.open(clientsFile, new LogHeader("clients", 1, 1));
                TestCluster cluster = new TestCluster(
                        TestClusterPlanReader.parse("h", hosts, 0),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1,
                        hostLog,
                        messages)) {
            cluster.start();
            settings = AuditSettings.of(new ObjectMapper()
                    .readTree(cluster.readyFile().path("settings").toString()));
            LoadRun run = new LoadRun(
                    LoadPlanReader.parse("p", plan, folder), List.of(cluster.address("s-0")), requestLog, null);
            cluster.startFaultSchedule();
            run.run();
        }
        Audit.Verdict verdict = Audit.of(clientsFile, hostsFile, settings);
        assertThat(verdict.warnings()).isEmpty();
        return verdict.violations().stream().map(Violation::rule).collect(Collectors.toSet());
    }

    private static String plan(String settings, int rate) {
        return "lateness_ms = 5000\n" + settings + "[[shape]]\nkind = 'poisson'\nfor_s = 1.5\nrate = " + rate + "\n";
    }

    @Test
    void runWithoutFaultsIsClean() throws Exception {
        assertThat(violatedRules("", plan("", 100))).isEmpty();
    }

    @Test
    void forwardingToDrainingHostIsFound() throws Exception {
        assertThat(violatedRules(
                        "[rules]\ndrain_grace_ms = 0\n[discovery]\nnotice_ms = 0\n"
                                + "[[fault]]\nkind = 'drain'\nhost = 's-0'\nfor_s = 60\n",
                        // No proxy watches discovery, so that the change counts as notified after 6 s.
                        plan("", 100).replace("for_s = 1.5", "for_s = 7")))
                .containsExactly(Violation.Rule.DRAIN);
    }

    @Test
    void overloadOfWarmingUpHostIsFound() throws Exception {
        assertThat(violatedRules("[hosts]\ncores = 1\nqueue = 1000\nstarts_cold = true\n", plan("", 500)))
                .contains(Violation.Rule.COLD);
    }

    @Test
    void truncatedResponsesAreFound() throws Exception {
        assertThat(violatedRules("[[fault]]\nkind = 'reset'\nhost = 's-0'\nsize = 0.3\n", plan("", 100)))
                .containsExactly(Violation.Rule.ANSWER);
    }

    @Test
    void clientRetryOfPossiblyExecutedRequestIsFound() throws Exception {
        assertThat(violatedRules(
                        "[[fault]]\nkind = 'errors'\nhost = 's-0'\nsize = 0.5\n",
                        plan("[[class]]\nname = 'claim'\nsemantics = 'keyed-everywhere'\n", 100)))
                .containsExactly(Violation.Rule.EFFECT);
    }
}
