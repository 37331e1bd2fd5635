package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;

/** Runs ten processes that exchange observations of failing hosts; three of them are partitioned from the others. */
@Timeout(150)
class ObservationGossipIT {
    private static final String PLAN =
            """
      seed = 5
      processes = 10
      news = true
      hosts = "hosts.toml"
      load = "load.toml"
      for_s = 45
      [[fault]]
      at_s = 2
      kind = "lose"
      on = "m0-m2"
      to = "all"
      for_s = 14
      """;

    /** One host answers every request with an error from 6 s to 14 s. */
    private static final String HOSTS =
            """
      seed = 5
      [hosts]
      count = 10
      [[fault]]
      kind = "errors"
      at_s = 6
      for_s = 8
      host = "s-3"
      """;

    @TempDir
    Path folder;

    @Test
    void failingHostIsEjectedByProxiesWithGossipAndReadmitted() throws Exception {
        Files.writeString(folder.resolve("hosts.toml"), HOSTS);
        Files.writeString(
                folder.resolve("load.toml"),
                "seed = 5\n[clients]\ncount = 100\n[[shape]]\nkind = \"poisson\"\nfor_s = 24\nrate = 120\n");
        Path out = folder.resolve("trial");
        FaultInjectionResult result = new FaultInjectionRun(
                        FaultInjectionPlanReader.parse("plan", PLAN, folder), out, System.out)
                .run(LaunchCommand.platform(Path.of("").toAbsolutePath()));
        assertThat(result.isClean()).as(result.report()).isTrue();
        for (int i = 0; i < 10; i++) {
            List<String> said = new ArrayList<>();
            Files.readAllLines(out.resolve("m" + i + ".log")).stream()
                    .filter(line -> line.contains("fleet: host"))
                    .forEach(said::add);
            assertThat(said).as("m" + i).allMatch(line -> line.contains("host=s-3 "));
            if (i < 3) {
                assertThat(said).as("m" + i + ", which hears nobody").noneMatch(line -> line.contains("host ejected"));
            } else {
                assertThat(said).as("m" + i).anyMatch(line -> line.contains("fleet: host ejected, host=s-3 "));
                assertThat(said.get(said.size() - 1)).as("m" + i).contains("fleet: host readmitted, host=s-3 ");
            }
        }
    }
}
