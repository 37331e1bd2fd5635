package rillyard.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests which hosts are retained although a full list lacks them.
 *
 * <p>Guards against an overload of the remaining hosts after a registry has lost its data, and against hosts that stay
 * in use for too long after they were really removed.
 */
class EndpointListGuardTest {
    private static final Set<String> ALL = Set.of("a", "b", "c", "d", "e", "f");

    private final EndpointListGuard guard = new EndpointListGuard(0.5, 1_000);

    @Test
    void listThatLacksFewHostsAppliesAtOnce() {
        assertThat(guard.onFullList(0, ALL, Set.of("a", "b", "c"))).isEmpty(); // half of them is plausible
        assertThat(guard.expired(Double.MAX_VALUE)).isEmpty();
    }

    @Test
    void hostsMissingFromImplausibleListAreRetainedForHoldTime() {
        assertThat(guard.onFullList(0, ALL, Set.of("a", "b"))).containsExactlyInAnyOrder("c", "d", "e", "f");
        assertThat(guard.expired(999)).isEmpty();
        assertThat(guard.expired(1_000)).containsExactlyInAnyOrder("c", "d", "e", "f");
        assertThat(guard.expired(Double.MAX_VALUE)).isEmpty();
    }

    @Test
    void emptyListRetainsAllHosts() {
        assertThat(guard.onFullList(0, ALL, Set.of())).isEqualTo(ALL);
    }

    @Test
    void repeatedImplausibleListDoesNotExtendHoldTime() {
        guard.onFullList(0, ALL, Set.of());
        assertThat(guard.onFullList(900, ALL, Set.of())).isEqualTo(ALL);
        assertThat(guard.onFullList(1_000, ALL, Set.of())).isEmpty();
    }

    @Test
    void plausibleListDoesNotReleaseHostsRetainedBefore() {
        guard.onFullList(0, ALL, Set.of("a"));
        // the list names a and three others again; two are still retained
        assertThat(guard.onFullList(500, ALL, Set.of("a", "b", "c", "d"))).containsExactlyInAnyOrder("e", "f");
        assertThat(guard.expired(1_000)).containsExactlyInAnyOrder("e", "f");
    }

    @Test
    void namedHostIsRetainedNoLonger() {
        guard.onFullList(0, ALL, Set.of());
        guard.onNamed("a");
        assertThat(guard.expired(1_000)).hasSize(5).doesNotContain("a");
        guard.onFullList(2_000, ALL, Set.of());
        guard.onFullList(2_100, ALL, ALL);
        assertThat(guard.expired(Double.MAX_VALUE)).isEmpty();
    }

    /** Hosts that have drained are not used again. */
    @Test
    void onlyHostsInUseAreRetained() {
        assertThat(guard.onFullList(0, Set.of("a", "b", "c"), Set.of("d"))).containsExactlyInAnyOrder("a", "b", "c");
        assertThat(guard.onFullList(0, Set.of(), Set.of())).isEmpty();
    }

    @Test
    void parametersOutOfRangeAreRejected() {
        for (double share : new double[] {-0.1, 1.1, Double.NaN}) {
            assertThatIllegalArgumentException().isThrownBy(() -> new EndpointListGuard(share, 1));
        }
        for (double holdMillis : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertThatIllegalArgumentException().isThrownBy(() -> new EndpointListGuard(0.5, holdMillis));
        }
    }
}
