package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests the queue that is assumed of a host without a recent load report: the mean over the reports of other hosts. */
class MeanInFlightTest {
    private static final double OUTSTANDING = 9;
    private static final double MILLIS_PER_REQUEST = 50;

    private double nowMillis = 1_000;
    private final Settings settings =
            BalancerFixture.settings(BalancerFixture.requestClass("safe", Semantics.IDEMPOTENT, Scope.ALL));
    private final HostSet hosts = new HostSet(settings);
    private final LoadEstimator load = new LoadEstimator(settings);

    private void reportQueue(HostState host) {
        load.onQueuedResponse(host, OUTSTANDING, MILLIS_PER_REQUEST * (OUTSTANDING + 1));
        load.onReport(host, nowMillis += 5, BalancerFixture.reportOf(OUTSTANDING), true);
    }

    /**
     * Hosts that limit their rate reject nearly all requests at once and report none in flight. If they counted in the
     * mean, each host without a recent report would be assumed idle, and requests would be sent to queues of 9.
     */
    @Test
    void rejectingHostsAreLeftOutOfMeanQueue() {
        hosts.apply(nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(3), new SplittableRandom(1));
        HostState busy = hosts.get(0);
        HostState limited = hosts.get(1);
        HostState unreported = hosts.get(2); // same machine kind as the busy host
        for (int i = 0; i < 400; i++) {
            reportQueue(busy);
            load.onReport(limited, nowMillis += 5, BalancerFixture.reportOf(0), false);
            load.onReport(limited, nowMillis += 5, BalancerFixture.reportOf(0), false);
        }
        assertThat(load.expectedLatency(unreported, nowMillis)).isBetween(400.0, 600.0);
        assertThat(load.expectedLatency(limited, nowMillis)).isZero(); // as its own report states
    }
}
