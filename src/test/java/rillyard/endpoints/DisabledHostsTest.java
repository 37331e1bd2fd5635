package rillyard.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.EndpointEntry.Condition;

/**
 * Tests the entries of hosts that operators disabled and enabled.
 *
 * <p>Guards against a disabled host that gets requests again when discovery announces it as ready, and against a
 * restarted host that gets full load without slow start.
 */
class DisabledHostsTest {
    private final DisabledHosts disabledHosts = new DisabledHosts();

    private static EndpointEntry entry(Condition condition, double startedAtMillis) {
        return new EndpointEntry(7, "z", "k", 3, condition, startedAtMillis);
    }

    private EndpointEntry effective(Condition condition, double startedAtMillis) {
        return disabledHosts.effective("a", entry(condition, startedAtMillis));
    }

    @Test
    void disabledHostIsTerminatingWhateverDiscoveryAnnounces() {
        disabledHosts.disable("a");
        for (Condition announced : new Condition[] {Condition.READY, Condition.TERMINATING, Condition.READY}) {
            assertThat(effective(announced, 0).condition()).isEqualTo(Condition.TERMINATING);
        }
        assertThat(effective(Condition.GONE, 0).condition()).isEqualTo(Condition.GONE);
        disabledHosts.forget("a"); // as when the host leaves the list and returns
        assertThat(effective(Condition.READY, 0).condition()).isEqualTo(Condition.TERMINATING);
    }

    @Test
    void oneEnableUndoesTwoDisables() {
        assertThat(disabledHosts.disable("a")).isTrue();
        assertThat(disabledHosts.disable("a")).isFalse();
        assertThat(disabledHosts.enable("a", 100)).isTrue();
        assertThat(disabledHosts.enable("a", 200)).isFalse();
        assertThat(effective(Condition.READY, 0)).isEqualTo(entry(Condition.READY, 100));
    }

    @Test
    void enabledHostCountsAsJustStarted() {
        disabledHosts.disable("a");
        disabledHosts.enable("a", 5_000);
        assertThat(effective(Condition.READY, 0).startedAtMillis()).isEqualTo(5_000);
        assertThat(effective(Condition.READY, 6_000).startedAtMillis()).isEqualTo(6_000);
        assertThat(effective(Condition.TERMINATING, 0).condition()).isEqualTo(Condition.TERMINATING);
    }

    @Test
    void stateOfOtherProcessIsAdoptedOnce() {
        disabledHosts.disable("a");
        assertThat(disabledHosts.adopt(Set.of("b"), Map.of("a", 50.0))).containsExactlyInAnyOrder("a", "b");
        assertThat(effective(Condition.READY, 0)).isEqualTo(entry(Condition.READY, 50));
        assertThat(disabledHosts.contains("b")).isTrue();
        assertThat(disabledHosts.adopt(Set.of("b"), Map.of("a", 50.0))).isEmpty();
        assertThat(disabledHosts.adopt(Set.of(), Map.of("c", 60.0))).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    void disabledHostsAreBounded() {
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            disabledHosts.disable("h" + i);
        }
        assertThatThrownBy(() -> disabledHosts.disable("a")).hasMessageContaining("4096");
        assertThat(disabledHosts.disable("h1")).isFalse();
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            disabledHosts.enable("h" + i, i);
            disabledHosts.disable("g" + i);
            disabledHosts.enable("g" + i, i);
        }
        assertThat(disabledHosts.enabledTimeCount()).isEqualTo(DisabledHosts.MAX_HOSTS);
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            disabledHosts.disable("h" + i);
        }
        disabledHosts.adopt(Set.of("a", "b"), Map.of());
        assertThat(disabledHosts.size()).isLessThanOrEqualTo(DisabledHosts.MAX_HOSTS);
    }
}
