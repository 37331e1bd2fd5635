package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** What is believed of a host that has not been heard of for a while: it holds what others hold. */
class MeanInFlightTest {
    private static final double HELD = 9;
    private static final double MS_PER_HELD = 50;

    private double now = 1_000;
    private final Settings settings =
            BalancerFixture.settings(BalancerFixture.type("safe", Semantics.IDEMPOTENT, Scope.ALL));
    private final HostSet fleet = new HostSet(settings);
    private final LoadEstimator load = new LoadEstimator(settings);

    private void jammed(HostState host) {
        load.onQueuedAnswer(host, HELD, MS_PER_HELD * (HELD + 1));
        load.onReport(host, now += 5, BalancerFixture.held(HELD), true);
    }

    /**
     * Hosts that limit their rate turn nearly all away, at once, and report nothing held. Taken into the
     * mean they had every host that was not just heard of believed idle, and work went to queues of 9.
     */
    @Test
    void hostsThatTurnAwayTellNothingOfTheQueuesOfOthers() {
        fleet.apply(now, WatchEvent.CACHED, BalancerFixture.hosts(3), new SplittableRandom(1));
        HostState busy = fleet.get(0);
        HostState limited = fleet.get(1);
        HostState quiet = fleet.get(2); // of busy's kind
        for (int i = 0; i < 400; i++) {
            jammed(busy);
            load.onReport(limited, now += 5, BalancerFixture.held(0), false);
            load.onReport(limited, now += 5, BalancerFixture.held(0), false);
        }
        assertThat(load.expectedLatency(quiet, now)).isBetween(400.0, 600.0);
        assertThat(load.expectedLatency(limited, now)).isZero(); // as it says itself
    }
}
