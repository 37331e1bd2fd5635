package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The time until which an attempt that waits for its connection may be written. */
class IdempotencyWindowTest {
    private static final double WINDOW = 300;

    private final List<Double> notAfter = new ArrayList<>();
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Semantics semantics) {
        BalancerActions actions = new BalancerActions() {
            @Override
            public void send(long request, long host, double giveUpAfter, double latest) {
                notAfter.add(latest);
                fixture.send(request, host, giveUpAfter, latest);
            }

            @Override
            public void reject(long request, double coolDown) {
                fixture.reject(request, coolDown);
            }

            @Override
            public void fail(long request) {
                fixture.fail(request);
            }

            @Override
            public void cancel(long request, int attempt) {}

            @Override
            public void scheduleTimer(double delay, long token) {}

            @Override
            public void subscribe() {}

            @Override
            public void log(String line) {}
        };
        Balancer balancer = new Balancer(
                BalancerFixture.settings(BalancerFixture.requestClass("c", semantics, Scope.ALL)), 1, actions);
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(4));
        return balancer;
    }

    @Test
    void retryHasRestOfFirstAttemptsWindow() {
        Balancer balancer = balancer(Semantics.DEDUPLICATED);
        double first = fixture.now;
        balancer.onRequest(fixture.now, BalancerFixture.request(1, "c", 800));
        fixture.now += 100;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        fixture.now += 50;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(1, AttemptOutcome.ERROR, 50, false, null));
        assertThat(notAfter).hasSize(3);
        assertThat(notAfter.get(0)).isEqualTo(Double.POSITIVE_INFINITY);
        assertThat(notAfter.get(1))
                .isEqualTo(first + WINDOW - Tuning.IDEMPOTENCY_MARGIN_MILLIS)
                .isEqualTo(notAfter.get(2));
    }

    @Test
    void unexecutedAttemptOpensNoWindow() {
        Balancer balancer = balancer(Semantics.DEDUPLICATED);
        balancer.onRequest(fixture.now, BalancerFixture.request(1, "c", 800));
        fixture.now += 100;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(0, AttemptOutcome.CONNECT_FAILED, 100, false, null));
        assertThat(notAfter).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    @Test
    void idempotentRetryHasNoWindow() {
        Balancer balancer = balancer(Semantics.IDEMPOTENT);
        balancer.onRequest(fixture.now, BalancerFixture.request(1, "c", 800));
        fixture.now += 100;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        assertThat(notAfter).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }
}
