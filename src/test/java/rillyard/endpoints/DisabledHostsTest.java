package rillyard.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.EndpointEntry.Condition;

class DisabledHostsTest {
    private final DisabledHosts taken = new DisabledHosts();

    private static EndpointEntry entry(Condition condition, double since) {
        return new EndpointEntry(7, "z", "k", 3, condition, 1, since);
    }

    private EndpointEntry effective(Condition condition, double since) {
        return taken.effective("a", entry(condition, since));
    }

    @Test
    void isOutWhateverDiscoverySays() {
        taken.disable("a");
        for (Condition told : new Condition[] {Condition.READY, Condition.TERMINATING, Condition.READY}) {
            assertThat(effective(told, 0).condition()).isEqualTo(Condition.TERMINATING);
        }
        assertThat(effective(Condition.GONE, 0).condition()).isEqualTo(Condition.GONE);
        taken.forget("a"); // off the list and back on it
        assertThat(effective(Condition.READY, 0).condition()).isEqualTo(Condition.TERMINATING);
    }

    @Test
    void oneCallBackUndoesTwoOut() {
        assertThat(taken.disable("a")).isTrue();
        assertThat(taken.disable("a")).isFalse();
        assertThat(taken.enable("a", 100)).isTrue();
        assertThat(taken.enable("a", 200)).isFalse();
        assertThat(effective(Condition.READY, 0)).isEqualTo(entry(Condition.READY, 100));
    }

    @Test
    void comesBackAsOneThatHasJustStarted() {
        taken.disable("a");
        taken.enable("a", 5_000);
        assertThat(effective(Condition.READY, 0).onlineSince()).isEqualTo(5_000);
        assertThat(effective(Condition.READY, 6_000).onlineSince()).isEqualTo(6_000);
        assertThat(effective(Condition.TERMINATING, 0).condition()).isEqualTo(Condition.TERMINATING);
    }

    @Test
    void anotherProcessesDoingsAreAdoptedOnce() {
        taken.disable("a");
        assertThat(taken.adopt(Set.of("b"), Map.of("a", 50.0))).containsExactlyInAnyOrder("a", "b");
        assertThat(effective(Condition.READY, 0)).isEqualTo(entry(Condition.READY, 50));
        assertThat(taken.contains("b")).isTrue();
        assertThat(taken.adopt(Set.of("b"), Map.of("a", 50.0))).isEmpty();
        assertThat(taken.adopt(Set.of(), Map.of("c", 60.0))).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    void isBounded() {
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            taken.disable("h" + i);
        }
        assertThatThrownBy(() -> taken.disable("a")).hasMessageContaining("4096");
        assertThat(taken.disable("h1")).isFalse();
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            taken.enable("h" + i, i);
            taken.disable("g" + i);
            taken.enable("g" + i, i);
        }
        assertThat(taken.enabledTimeCount()).isEqualTo(DisabledHosts.MAX_HOSTS);
        for (int i = 0; i < DisabledHosts.MAX_HOSTS; i++) {
            taken.disable("h" + i);
        }
        taken.adopt(Set.of("a", "b"), Map.of());
        assertThat(taken.size()).isLessThanOrEqualTo(DisabledHosts.MAX_HOSTS);
    }
}
