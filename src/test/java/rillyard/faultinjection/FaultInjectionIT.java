package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;

/** Runs twelve processes of the built jar: one is killed, one is stopped for a while, and a zone is partitioned. */
@Timeout(150)
class FaultInjectionIT {
    private static final String PLAN =
            """
      seed = 7
      processes = 12
      zones = 3
      for_s = 60
      [[fault]]
      at_s = 1
      kind = "kill"
      on = "m5"
      [[fault]]
      at_s = 1
      kind = "stop"
      on = "m7"
      for_s = 8
      [[fault]]
      at_s = 14
      kind = "lose"
      on = "zone:0"
      to = "zone:1,zone:2"
      for_s = 8
      """;

    @TempDir
    Path folder;

    @Test
    void membershipFollowsKillStopAndPartitionAndConverges() throws Exception {
        LaunchCommand built = LaunchCommand.platform(Path.of("").toAbsolutePath());
        FaultInjectionResult result = new FaultInjectionRun(
                        FaultInjectionPlanReader.parse("plan", PLAN, folder), folder.resolve("trial"), System.out)
                .run(built);
        assertThat(result.survivors()).hasSize(11).doesNotContain("m5");
        assertThat(result.detectionDelays("m5", 1)).as(result.report()).hasSize(11);
        assertThat(result.detectionDelays("m7", 1)).as(result.report()).hasSize(10);
        assertThat(result.detectionDelays("m0", 14))
                .as("held gone across the cut: %s", result.report())
                .isNotEmpty();
        assertThat(result.falseDeaths()).as(result.report()).isEmpty();
        assertThat(result.report()).containsPattern("membership: [1-9][0-9.]* datagrams and [1-9]");
        assertThat(result.convergedSince()).as(result.report()).isGreaterThan(14);
    }
}
