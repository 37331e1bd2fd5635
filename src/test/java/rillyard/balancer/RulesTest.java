package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random legal events against a balancer, judged by a checker that shares no code with it. */
class RulesTest {

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 7, 24})
    void rulesHoldUnderRandomEvents(int hosts) {
        Set<String> violations = new HashSet<>();
        int answered = 0;
        for (long seed = 0; seed < 12; seed++) {
            RandomWorld world = new RandomWorld(seed * 31 + hosts);
            if (hosts == 0) {
                world.run(1, 0.5); // one host that the first change may remove
            } else {
                world.run(hosts, 4_000);
            }
            violations.addAll(world.violations);
            answered += world.answered;
            checkSlowStart(world, hosts, violations);
        }
        assertThat(violations).isEmpty();
        assertThat(answered).isGreaterThan(10);
    }

    /** Rule 4: 125 requests a second over the hosts; the proxy's own share of a warming host. */
    private static void checkSlowStart(RandomWorld world, int hosts, Set<String> violations) {
        if (hosts < 2) {
            return;
        }
        for (Map.Entry<Long, List<Double>> entry : world.slowStartSends.entrySet()) {
            double since = world.endpoints.get(entry.getKey()).startedAtMillis();
            List<Double> sends = entry.getValue();
            for (int i = 0; i < sends.size(); i++) {
                int count = 0;
                for (int last = i; last < sends.size() && sends.get(last) < sends.get(i) + 1_500; last++) {
                    count++;
                }
                // A third of the hosts can be out, so the mean share may grow by half; the rate that the
                // proxy judges by wanders too. All in all well under the multiple of 3.
                double warm = 0.3 + 0.7 * Math.max(0, sends.get(i) + 1_500 - since) / 8_000;
                double share = 125.0 / Math.max(1, hosts / 2.0) * 1.5;
                if (count > 3 * Math.min(1, warm) * share + 3) {
                    violations.add("rule 4: " + count + " sends to a warming host");
                }
            }
        }
    }
}
