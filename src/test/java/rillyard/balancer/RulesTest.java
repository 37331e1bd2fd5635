package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against actions that break a rule only after a rare order of events: {@link RandomWorld} sends a balancer
 * random events and checks its actions without using its code.
 */
class RulesTest {

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 7, 24})
    void rulesHoldUnderRandomEvents(int hosts) {
        Set<String> violations = new HashSet<>();
        int answered = 0;
        for (long seed = 0; seed < 12; seed++) {
            RandomWorld world = new RandomWorld(seed * 31 + hosts);
            if (hosts == 0) {
                world.run(1, 0.5); // a single host, which the first change may remove
            } else {
                world.run(hosts, 4_000);
            }
            violations.addAll(world.violations);
            answered += world.answeredCount;
            checkSlowStart(world, hosts, violations);
        }
        assertThat(violations).isEmpty();
        assertThat(answered).isGreaterThan(10);
    }

    /** Checks rule 4: a host that is warming up gets a limited part of the proxy's 125 requests per second. */
    private static void checkSlowStart(RandomWorld world, int hosts, Set<String> violations) {
        if (hosts < 2) {
            return;
        }
        for (Map.Entry<Long, List<Double>> entry : world.slowStartSendTimesMillis.entrySet()) {
            double startedAtMillis = world.endpoints.get(entry.getKey()).startedAtMillis();
            List<Double> sendTimesMillis = entry.getValue();
            for (int i = 0; i < sendTimesMillis.size(); i++) {
                int count = 0;
                for (int last = i;
                        last < sendTimesMillis.size() && sendTimesMillis.get(last) < sendTimesMillis.get(i) + 1_500;
                        last++) {
                    count++;
                }
                // A third of the hosts may be missing, which raises the mean share by half, and the rate that the
                // proxy measures varies. Together this stays well below the overload multiple of 3.
                double capacity = 0.3 + 0.7 * Math.max(0, sendTimesMillis.get(i) + 1_500 - startedAtMillis) / 8_000;
                double requestsPerSecondPerHost = 125.0 / Math.max(1, hosts / 2.0) * 1.5;
                if (count > 3 * Math.min(1, capacity) * requestsPerSecondPerHost + 3) {
                    violations.add("rule 4: " + count + " sends to a host that is warming up");
                }
            }
        }
    }
}
