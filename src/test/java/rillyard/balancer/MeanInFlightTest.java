package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The estimate for a host without a recent load report: the mean over the others. */
class MeanInFlightTest {
    private static final double HELD = 9;
    private static final double MS_PER_HELD = 50;

    private double now = 1_000;
    private final Settings settings =
            BalancerFixture.settings(BalancerFixture.requestClass("safe", Semantics.IDEMPOTENT, Scope.ALL));
    private final HostSet hosts = new HostSet(settings);
    private final LoadEstimator load = new LoadEstimator(settings);

    private void reportQueue(HostState host) {
        load.onQueuedResponse(host, HELD, MS_PER_HELD * (HELD + 1));
        load.onReport(host, now += 5, BalancerFixture.reportOf(HELD), true);
    }

    /**
     * Hosts that limit their rate reject nearly all requests at once and report none in flight. If they counted in the mean,
     * each host without a recent report would be taken for idle, and requests would go to queues of 9.
     */
    @Test
    void rejectingHostsAreLeftOutOfMeanQueue() {
        hosts.apply(now, WatchEvent.CACHED, BalancerFixture.hosts(3), new SplittableRandom(1));
        HostState busy = hosts.get(0);
        HostState limited = hosts.get(1);
        HostState quiet = hosts.get(2); // of busy's kind
        for (int i = 0; i < 400; i++) {
            reportQueue(busy);
            load.onReport(limited, now += 5, BalancerFixture.reportOf(0), false);
            load.onReport(limited, now += 5, BalancerFixture.reportOf(0), false);
        }
        assertThat(load.expectedLatency(quiet, now)).isBetween(400.0, 600.0);
        assertThat(load.expectedLatency(limited, now)).isZero(); // as it says itself
    }
}
