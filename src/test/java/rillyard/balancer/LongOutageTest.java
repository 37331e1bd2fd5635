package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Outages and quiet times of an hour, and the trouble that follows them. */
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
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(4));
    }

    /** Has a subscription fail; returns the wait before the next one, which has begun then. */
    private double failSubscription() {
        balancer.onWatchEvent(fixture.now, WatchEvent.FAILED, List.of());
        Map.Entry<Double, List<Long>> timer = fixture.timers.pollFirstEntry();
        double delayMillis = timer.getKey() - fixture.now;
        fixture.now = timer.getKey();
        int subscriptions = fixture.subscriptions;
        timer.getValue().forEach(token -> balancer.onTimer(fixture.now, token));
        assertThat(fixture.subscriptions).isEqualTo(subscriptions + 1);
        return delayMillis;
    }

    private void request() {
        balancer.onRequest(fixture.now, BalancerFixture.request(++lastId, SAFE, 800));
    }

    private void endLastAttempt(AttemptOutcome outcome) {
        fixture.now += 1;
        BalancerFixture.Send send = fixture.lastSend();
        boolean isAnswered = outcome == AttemptOutcome.OK;
        balancer.onAttemptEnded(fixture.now, lastId, new AttemptResult(send.number(), outcome, 1, isAnswered, null));
    }

    /** Has all attempts of a request reset; returns their number. */
    private int requestThatIsReset() {
        int attemptsBefore = fixture.sends.size();
        request();
        int attempts;
        do {
            attempts = fixture.sends.size();
            endLastAttempt(AttemptOutcome.RESET);
        } while (fixture.sends.size() > attempts);
        fixture.now += 1_000;
        return attempts - attemptsBefore;
    }

    @Test
    void backoffStaysBoundedThroughAnHourWithoutDiscovery() {
        start();
        double end = fixture.now + HOUR_MILLIS;
        while (fixture.now < end) {
            assertThat(failSubscription()).isLessThanOrEqualTo(MAX_DELAY_MILLIS);
        }
        request();
        assertThat(fixture.sends).as("the last list serves").hasSize(1);
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(4));
        fixture.timers.clear(); // of the request
        assertThat(failSubscription()).isLessThanOrEqualTo(MAX_FIRST_DELAY_MILLIS);
    }

    @Test
    void firstRequestAfterAnHourOfQuietIsRetriedOnClosedConnection() {
        start();
        for (int i = 0; i < 100; i++) {
            request();
            endLastAttempt(AttemptOutcome.OK);
        }
        fixture.now += HOUR_MILLIS;
        fixture.sends.clear();
        request();
        endLastAttempt(AttemptOutcome.RESET);
        endLastAttempt(AttemptOutcome.OK);
        assertThat(fixture.sends).hasSize(2);
        assertThat(fixture.failed).isEmpty();
    }

    @Test
    void firstRequestAfterTroubleAndAnHourOfQuietIsRetried() {
        start();
        while (requestThatIsReset() > 1) {} // until the budget has less than a token
        while (requestThatIsReset() == 1) {} // and has just lost the next one
        fixture.failed.clear();
        fixture.now += HOUR_MILLIS;
        fixture.sends.clear();
        request();
        endLastAttempt(AttemptOutcome.RESET);
        endLastAttempt(AttemptOutcome.OK);
        assertThat(fixture.sends).hasSize(2);
        assertThat(fixture.failed).isEmpty();
    }
}
