package rillyard.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.audit.Violation;

/** Runs the whole system with test hosts, a proxy process, load and audit, for a shorter time than the demo. */
class DemoTest {
    private static final String HOSTS =
            """
      [hosts]
      count = 6
      cell_size = 3
      [[fault]]
      kind = "hang"
      at_s = 0.5
      for_s = 1.5
      host = "s-2"
      [[fault]]
      kind = "drain"
      at_s = 1
      for_s = 1
      host = "s-4"
      restart_s = 0.5
      new_id = true
      """;

    private static final String PLAN =
            """
      lateness_ms = 5000
      [clients]
      count = 30
      impatient = 0.01
      grace_ms = 1000
      [[shape]]
      kind = "surge"
      for_s = 5
      base = 60
      peak = 250
      """;

    @TempDir
    Path folder;

    @Test
    void proxyUnderFaultsHasNoViolationAndConsistentReport() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Demo.Result result = new Demo(new PrintStream(out, true, StandardCharsets.UTF_8), HOSTS, PLAN).run(folder);
        assertThat(result.verdict().warnings()).isEmpty();
        // A machine with all cores busy adds delays of its own: the tolerance of time limits is 1 s here, not 50 ms.
        AuditSettings settings = AuditSettings.read(folder.resolve("ready.json"));
        AuditSettings lenientSettings = new AuditSettings(
                settings.classes(),
                settings.answerSlackMicros(),
                settings.drainGraceMicros(),
                settings.maxNotificationDelayMicros(),
                1_000_000,
                settings.overloadWindowMicros(),
                settings.overloadMultiple());
        List<Violation> violations = Audit.of(
                        folder.resolve("clients.jsonl"), folder.resolve("hosts.jsonl"), lenientSettings)
                .violations();
        assertThat(violations).isEmpty();
        assertThat(result.verdict().attempts()).isGreaterThan(300);
        assertThat(result.report().total().inAim()).isGreaterThan(200);
        assertThat(result.report().marks())
                .extracting(mark -> mark.host() + " " + mark.what())
                .contains("s-2 hang", "s-2 hang ends", "s-4 draining", "s-4 stopped", "s-4+1 started");
        assertThat(folder.resolve("report.html")).isNotEmptyFile();
        assertThat(Files.readString(folder.resolve("proxy.log"))).contains("drained");
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("the surge begins");
    }
}
