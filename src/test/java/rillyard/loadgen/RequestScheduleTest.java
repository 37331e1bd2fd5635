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
        List<ScheduledRequest> out = new ArrayList<>();
        new RequestSchedule(LoadPlanReader.parse("p", plan, Path.of("."))).forEachRemaining(out::add);
        return out;
    }

    private static final String TWO =
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
    void theSameSeedGivesTheSameArrivalsAndAnotherGivesOthers() throws Exception {
        assertThat(arrivals(TWO)).isEqualTo(arrivals(TWO));
        assertThat(arrivals(TWO.replace("seed = 5", "seed = 6"))).isNotEqualTo(arrivals(TWO));
    }

    @Test
    void arrivalsComeInOrderAtTheRatesOfTheShapesOneAfterTheOther() throws Exception {
        List<ScheduledRequest> all = arrivals(TWO);
        int[] perSecond = new int[20];
        long before = 0;
        for (ScheduledRequest request : all) {
            assertThat(request.atNanos()).isGreaterThanOrEqualTo(before);
            before = request.atNanos();
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
        List<ScheduledRequest> all = arrivals("[[shape]]\nkind = 'steady'\nfor_s = 2\nrate = 100\n");
        assertThat(all).hasSize(200);
        for (int i = 1; i < all.size(); i++) {
            assertThat(all.get(i).atNanos() - all.get(i - 1).atNanos()).isCloseTo(10_000_000L, within(1_000L));
        }
    }

    @Test
    void classesTenantsAndClientsHaveTheirShares() throws Exception {
        Map<String, Integer> counts = new HashMap<>();
        List<ScheduledRequest> all = arrivals(TWO);
        for (ScheduledRequest request : all) {
            counts.merge(request.requestClass().name(), 1, Integer::sum);
            counts.merge(request.tenant(), 1, Integer::sum);
            counts.merge("c" + request.client(), 1, Integer::sum);
        }
        double n = all.size();
        assertThat(counts.get("list") / n).isCloseTo(0.6, within(0.02));
        assertThat(counts.get("claim") / n).isCloseTo(0.1, within(0.02));
        assertThat(counts.get("t1") / n).isCloseTo(0.75, within(0.02));
        double harmonic = 0;
        for (int k = 1; k <= 20; k++) {
            harmonic += 1.0 / k;
        }
        assertThat(counts.get("c0") / n).isCloseTo(1 / harmonic, within(0.02));
        assertThat(counts.get("c19") / n).isCloseTo(1 / harmonic / 20, within(0.01));
    }
}
