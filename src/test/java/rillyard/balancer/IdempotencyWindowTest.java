package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Tests the time after which an attempt must not be written any more. A retry may have to wait for its connection;
 * written after the idempotency window of the first attempt, it could be executed a second time.
 */
class IdempotencyWindowTest {
    private static final double WINDOW_MILLIS = 300;

    private final List<Double> notAfterMillis = new ArrayList<>();
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Semantics semantics) {
        BalancerActions actions = new BalancerActions() {
            @Override
            public void send(long requestId, long hostId, double timeoutMillis, double latestMillis) {
                notAfterMillis.add(latestMillis);
                fixture.send(requestId, hostId, timeoutMillis, latestMillis);
            }

            @Override
            public void reject(long requestId, double retryAfterMillis) {
                fixture.reject(requestId, retryAfterMillis);
            }

            @Override
            public void fail(long requestId) {
                fixture.fail(requestId);
            }

            @Override
            public void cancel(long requestId, int attempt) {}

            @Override
            public void scheduleTimer(double delayMillis, long token) {}

            @Override
            public void subscribe() {}

            @Override
            public void log(String line) {}
        };
        Balancer balancer = new Balancer(
                BalancerFixture.settings(BalancerFixture.requestClass("c", semantics, Scope.ALL)), 1, actions);
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(4));
        return balancer;
    }

    @Test
    void retryHasRestOfFirstAttemptsWindow() {
        Balancer balancer = balancer(Semantics.DEDUPLICATED);
        double firstSentAtMillis = fixture.nowMillis;
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, "c", 800));
        fixture.nowMillis += 100;
        balancer.onAttemptEnded(fixture.nowMillis, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        fixture.nowMillis += 50;
        balancer.onAttemptEnded(fixture.nowMillis, 1, new AttemptResult(1, AttemptOutcome.ERROR, 50, false, null));
        assertThat(notAfterMillis).hasSize(3);
        assertThat(notAfterMillis.get(0)).isEqualTo(Double.POSITIVE_INFINITY);
        assertThat(notAfterMillis.get(1))
                .isEqualTo(firstSentAtMillis + WINDOW_MILLIS - Tuning.IDEMPOTENCY_MARGIN_MILLIS)
                .isEqualTo(notAfterMillis.get(2));
    }

    @Test
    void unexecutedAttemptOpensNoWindow() {
        Balancer balancer = balancer(Semantics.DEDUPLICATED);
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, "c", 800));
        fixture.nowMillis += 100;
        balancer.onAttemptEnded(
                fixture.nowMillis, 1, new AttemptResult(0, AttemptOutcome.CONNECT_FAILED, 100, false, null));
        assertThat(notAfterMillis).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    @Test
    void idempotentRetryHasNoWindow() {
        Balancer balancer = balancer(Semantics.IDEMPOTENT);
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, "c", 800));
        fixture.nowMillis += 100;
        balancer.onAttemptEnded(fixture.nowMillis, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        assertThat(notAfterMillis).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }
}
