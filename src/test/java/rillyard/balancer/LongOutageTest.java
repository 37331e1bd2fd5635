package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Guards against faults that appear only after an hour without discovery or without requests: a backoff that has grown
 * too long, and a retry budget that is still empty when a connection closed meanwhile fails the first request.
 */
class LongOutageTest {
    private static final String SAFE = "safe";
    private static final double HOUR_MILLIS = 3_600_000;
    private static final double MAX_DELAY_MILLIS = 1.5 * Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS;
    private static final double MAX_FIRST_DELAY_MILLIS = 1.5 * Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;

    private final BalancerFixture fixture = new BalancerFixture();
    private final Balancer balancer = new Balancer(
            BalancerFixture.settings(
                    true, 4, true, BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
            7,
            fixture);
    private long lastId;

    private void start() {
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(4));
    }

    /** Fails the subscription and runs the timer that starts the next one; returns the wait (ms) between the two. */
    private double failSubscription() {
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FAILED, List.of());
        Map.Entry<Double, List<Long>> timer = fixture.timers.pollFirstEntry();
        double delayMillis = timer.getKey() - fixture.nowMillis;
        fixture.nowMillis = timer.getKey();
        int subscriptions = fixture.subscriptions;
        timer.getValue().forEach(token -> balancer.onTimer(fixture.nowMillis, token));
        assertThat(fixture.subscriptions).isEqualTo(subscriptions + 1);
        return delayMillis;
    }

    private void request() {
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(++lastId, SAFE, 800));
    }

    private void endLastAttempt(AttemptOutcome outcome) {
        fixture.nowMillis += 1;
        BalancerFixture.Send send = fixture.lastSend();
        boolean isAnswered = outcome == AttemptOutcome.OK;
        balancer.onAttemptEnded(
                fixture.nowMillis, lastId, new AttemptResult(send.attempt(), outcome, 1, isAnswered, null));
    }

    /** Sends a request of which all attempts are reset; returns the number of attempts. */
    private int sendRequestWithResets() {
        int attemptsBefore = fixture.sends.size();
        request();
        int attempts;
        do {
            attempts = fixture.sends.size();
            endLastAttempt(AttemptOutcome.RESET);
        } while (fixture.sends.size() > attempts);
        fixture.nowMillis += 1_000;
        return attempts - attemptsBefore;
    }

    @Test
    void backoffStaysBoundedThroughAnHourWithoutDiscovery() {
        start();
        double endMillis = fixture.nowMillis + HOUR_MILLIS;
        while (fixture.nowMillis < endMillis) {
            assertThat(failSubscription()).isLessThanOrEqualTo(MAX_DELAY_MILLIS);
        }
        request();
        assertThat(fixture.sends).as("requests sent by the last endpoint list").hasSize(1);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(4));
        fixture.timers.clear(); // those of the request
        assertThat(failSubscription()).isLessThanOrEqualTo(MAX_FIRST_DELAY_MILLIS);
    }

    @Test
    void firstRequestAfterAnHourWithoutRequestsIsRetriedOnClosedConnection() {
        start();
        for (int i = 0; i < 100; i++) {
            request();
            endLastAttempt(AttemptOutcome.OK);
        }
        fixture.nowMillis += HOUR_MILLIS;
        fixture.sends.clear();
        request();
        endLastAttempt(AttemptOutcome.RESET);
        endLastAttempt(AttemptOutcome.OK);
        assertThat(fixture.sends).hasSize(2);
        assertThat(fixture.failed).isEmpty();
    }

    @Test
    void firstRequestAfterResetsAndAnHourWithoutRequestsIsRetried() {
        start();
        while (sendRequestWithResets() > 1) {} // until the retry budget is below one token
        while (sendRequestWithResets() == 1) {} // and until the next token has been used
        fixture.failed.clear();
        fixture.nowMillis += HOUR_MILLIS;
        fixture.sends.clear();
        request();
        endLastAttempt(AttemptOutcome.RESET);
        endLastAttempt(AttemptOutcome.OK);
        assertThat(fixture.sends).hasSize(2);
        assertThat(fixture.failed).isEmpty();
    }
}
