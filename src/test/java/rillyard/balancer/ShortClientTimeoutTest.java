package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Guards against timeouts that a client causes: if a client waits for less time than a response takes, its timeouts are
 * no evidence of a faulty host or of an overload. Counted as such, they would reject requests of other clients.
 */
class ShortClientTimeoutTest {
    private static final String READ = "read";
    private static final String CLAIM = "claim";
    private static final double ANSWER_MILLIS = 30;
    private static final double USUAL_TIMEOUT_MILLIS = 800;
    private static final int SHORT_READS_PER_CLAIM = 4;

    private final BalancerFixture fixture = new BalancerFixture();
    private final Balancer balancer = new Balancer(
            BalancerFixture.settings(
                    BalancerFixture.requestClass(READ, Semantics.IDEMPOTENT, Scope.ALL),
                    BalancerFixture.requestClass(CLAIM, Semantics.AT_MOST_ONCE, Scope.ALL)),
            11,
            fixture);
    private long lastId;

    /** Sends a request, which times out if {@code timeoutMillis} is shorter than the time a response takes. */
    private void request(String requestClass, double timeoutMillis) {
        int sendsBefore = fixture.sends.size();
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(++lastId, requestClass, timeoutMillis));
        if (fixture.sends.size() == sendsBefore) {
            return; // rejected
        }
        boolean isAnswered = timeoutMillis >= ANSWER_MILLIS;
        double latencyMillis = Math.min(timeoutMillis, ANSWER_MILLIS);
        AttemptOutcome outcome = isAnswered ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT;
        fixture.nowMillis += latencyMillis;
        balancer.onAttemptEnded(
                fixture.nowMillis,
                lastId,
                new AttemptResult(fixture.lastSend().attempt(), outcome, latencyMillis, isAnswered, null));
        fixture.nowMillis += 1;
    }

    @ParameterizedTest
    @ValueSource(doubles = {2, 5, 20})
    void shortTimeoutsRejectNoRequestOfOtherClients(double shortTimeoutMillis) {
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(3));
        for (int i = 0; i < 100; i++) {
            request(READ, USUAL_TIMEOUT_MILLIS);
            request(CLAIM, USUAL_TIMEOUT_MILLIS);
        }
        fixture.rejected.clear();
        for (int i = 0; i < 100; i++) {
            for (int read = 0; read < SHORT_READS_PER_CLAIM; read++) {
                request(READ, shortTimeoutMillis);
            }
            request(CLAIM, USUAL_TIMEOUT_MILLIS);
            assertThat(fixture.rejected).doesNotContain(lastId);
        }
        assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
    }
}
