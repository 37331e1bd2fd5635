package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RequestScheduleTest {
    private static List<ScheduledRequest> arrivals(String plan) throws Exception {
        List<ScheduledRequest> requests = new ArrayList<>();
        new RequestSchedule(LoadPlanReader.parse("p", plan, Path.of("."))).forEachRemaining(requests::add);
        return requests;
    }

    private static final String TWO_PROFILES =
            """
      seed = 5
      [clients]
      count = 20
      skew = 1
      [[tenant]]
      name = "t1"
      share = 3
      [[tenant]]
      name = "t2"
      [[shape]]
      kind = "poisson"
      for_s = 10
      rate = 1000
      [[shape]]
      kind = "ramp"
      for_s = 10
      from = 0
      to = 2000
      """;

    @Test
    void sameSeedGivesSameArrivals() throws Exception {
        assertThat(arrivals(TWO_PROFILES)).isEqualTo(arrivals(TWO_PROFILES));
        assertThat(arrivals(TWO_PROFILES.replace("seed = 5", "seed = 6"))).isNotEqualTo(arrivals(TWO_PROFILES));
    }

    @Test
    void arrivalsFollowRatesOfProfilesInOrder() throws Exception {
        List<ScheduledRequest> requests = arrivals(TWO_PROFILES);
        int[] perSecond = new int[20];
        long previousNanos = 0;
        for (ScheduledRequest request : requests) {
            assertThat(request.atNanos()).isGreaterThanOrEqualTo(previousNanos);
            previousNanos = request.atNanos();
            perSecond[(int) (request.atNanos() / 1_000_000_000L)]++;
        }
        for (int i = 0; i < 10; i++) {
            assertThat(perSecond[i]).isCloseTo(1_000, within(150)); // 4.7 standard deviations
            double expected = 200 * i + 100;
            assertThat(perSecond[10 + i]).isCloseTo((int) expected, within((int) (5 * Math.sqrt(expected)) + 1));
        }
    }

    @Test
    void steadyArrivalsAreEvenlySpaced() throws Exception {
        List<ScheduledRequest> requests = arrivals("[[shape]]\nkind = 'steady'\nfor_s = 2\nrate = 100\n");
        assertThat(requests).hasSize(200);
        for (int i = 1; i < requests.size(); i++) {
            assertThat(requests.get(i).atNanos() - requests.get(i - 1).atNanos())
                    .isCloseTo(10_000_000L, within(1_000L));
        }
    }

    @Test
    void classesTenantsAndClientsGetTheirShares() throws Exception {
        Map<String, Integer> counts = new HashMap<>();
        List<ScheduledRequest> requests = arrivals(TWO_PROFILES);
        for (ScheduledRequest request : requests) {
            counts.merge(request.requestClass().name(), 1, Integer::sum);
            counts.merge(request.tenant(), 1, Integer::sum);
            counts.merge("c" + request.client(), 1, Integer::sum);
        }
        double total = requests.size();
        assertThat(counts.get("list") / total).isCloseTo(0.6, within(0.02));
        assertThat(counts.get("claim") / total).isCloseTo(0.1, within(0.02));
        assertThat(counts.get("t1") / total).isCloseTo(0.75, within(0.02));
        double harmonic = 0;
        for (int k = 1; k <= 20; k++) {
            harmonic += 1.0 / k;
        }
        assertThat(counts.get("c0") / total).isCloseTo(1 / harmonic, within(0.02));
        assertThat(counts.get("c19") / total).isCloseTo(1 / harmonic / 20, within(0.01));
    }
}
