package rillyard.connections;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IdleTimeoutPolicyTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void aProxyAloneKeepsConnectionsForLong() {
        IdleTimeoutPolicy alone = IdleTimeoutPolicy.of(1, 42 * SECOND);
        assertThat(alone.isExpired(1, 29 * SECOND)).isFalse();
        assertThat(alone.isExpired(5, 4 * SECOND)).isFalse();
        assertThat(alone.isExpired(5, 5 * SECOND)).isTrue();
    }

    /** What all proxies hold idle at a host, each with a burst of five a while ago, does not grow with them. */
    @Test
    void theMoreProxiesTheSoonerIdleConnectionsGo() {
        IdleTimeoutPolicy many = IdleTimeoutPolicy.of(14, 42 * SECOND);
        assertThat(many.isExpired(5, SECOND / 2)).isTrue();
        assertThat(many.isExpired(1, 2 * SECOND)).isFalse();
        assertThat(many.isExpired(1, 3 * SECOND)).isTrue();
        for (int n = 1; n < 14; n++) {
            assertThat(IdleTimeoutPolicy.of(n, 42 * SECOND).firstTimeoutNanos())
                    .isGreaterThanOrEqualTo(many.firstTimeoutNanos());
            assertThat(n * IdleTimeoutPolicy.of(n, 42 * SECOND).spareTimeoutNanos())
                    .isLessThanOrEqualTo(5 * SECOND);
        }
    }

    @Test
    void neverLongerThanTheHostKeepsThemNorShorterThanAPauseBetweenRequests() {
        assertThat(IdleTimeoutPolicy.of(1, SECOND)).isEqualTo(new IdleTimeoutPolicy(SECOND, SECOND));
        IdleTimeoutPolicy thousand = IdleTimeoutPolicy.of(1_000, 42 * SECOND);
        assertThat(thousand.isExpired(1, SECOND)).isFalse();
        assertThat(thousand.isExpired(2, SECOND / 5)).isFalse();
        assertThat(IdleTimeoutPolicy.of(0, 42 * SECOND)).isEqualTo(IdleTimeoutPolicy.of(1, 42 * SECOND));
    }
}
