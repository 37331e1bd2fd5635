package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a backoff that grows without bound, so that the watch stays closed long after discovery is back, or
 * that shrinks, so that reconnects load it.
 */
class ReconnectBackoffTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long MAX_DELAY_MILLIS = 375;
    private static final long MAX_FIRST_DELAY_MILLIS = 75;

    @Test
    void delayStaysBoundedThroughAnHourOfFailuresAndStartsOver() {
        ReconnectBackoff backoff = new ReconnectBackoff();
        int delays = 0;
        for (long elapsedMillis = 0; elapsedMillis < HOUR_MILLIS; delays++) {
            long delayMillis = backoff.nextDelayMillis();
            assertThat(delayMillis).isBetween(1L, MAX_DELAY_MILLIS);
            elapsedMillis += delayMillis;
        }
        assertThat(delays).isLessThan((int) (HOUR_MILLIS / 200)); // the delay stays near its mean of 0.25 s
        backoff.reset();
        assertThat(backoff.nextDelayMillis()).isLessThanOrEqualTo(MAX_FIRST_DELAY_MILLIS);
    }
}
