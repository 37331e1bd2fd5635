package rillyard.connections;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests the timeouts of idle connections by the number of proxies.
 *
 * <p>Guards against a host whose connection table fills up because many proxies keep idle connections to it.
 */
class IdleTimeoutPolicyTest {
    /** Nanoseconds per second. */
    private static final long SECOND = 1_000_000_000L;

    @Test
    void singleProxyKeepsConnectionsForLong() {
        IdleTimeoutPolicy single = IdleTimeoutPolicy.of(1, 42 * SECOND);
        assertThat(single.isExpired(1, 29 * SECOND)).isFalse();
        assertThat(single.isExpired(5, 4 * SECOND)).isFalse();
        assertThat(single.isExpired(5, 5 * SECOND)).isTrue();
    }

    /** The sum of idle connections at a host, after each proxy opened five, doesn't grow with the number of proxies. */
    @Test
    void timeoutsShrinkWithNumberOfProxies() {
        IdleTimeoutPolicy fourteen = IdleTimeoutPolicy.of(14, 42 * SECOND);
        assertThat(fourteen.isExpired(5, SECOND / 2)).isTrue();
        assertThat(fourteen.isExpired(1, 2 * SECOND)).isFalse();
        assertThat(fourteen.isExpired(1, 3 * SECOND)).isTrue();
        for (int proxies = 1; proxies < 14; proxies++) {
            assertThat(IdleTimeoutPolicy.of(proxies, 42 * SECOND).firstTimeoutNanos())
                    .isGreaterThanOrEqualTo(fourteen.firstTimeoutNanos());
            assertThat(proxies * IdleTimeoutPolicy.of(proxies, 42 * SECOND).spareTimeoutNanos())
                    .isLessThanOrEqualTo(5 * SECOND);
        }
    }

    @Test
    void timeoutsStayWithinHostTimeoutAndMinimum() {
        assertThat(IdleTimeoutPolicy.of(1, SECOND)).isEqualTo(new IdleTimeoutPolicy(SECOND, SECOND));
        IdleTimeoutPolicy thousand = IdleTimeoutPolicy.of(1_000, 42 * SECOND);
        assertThat(thousand.isExpired(1, SECOND)).isFalse();
        assertThat(thousand.isExpired(2, SECOND / 5)).isFalse();
        assertThat(IdleTimeoutPolicy.of(0, 42 * SECOND)).isEqualTo(IdleTimeoutPolicy.of(1, 42 * SECOND));
    }
}
