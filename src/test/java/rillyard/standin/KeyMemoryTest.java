package rillyard.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class KeyMemoryTest {
    private final KeyMemory memory = new KeyMemory(100);
    private final AtomicInteger woken = new AtomicInteger();

    private KeyMemory.Known seen(String key, long now) {
        return memory.seen(key, now, woken::incrementAndGet);
    }

    @Test
    void aKeyIsNewOnceThenKnownUntilItsWindowIsPast() {
        assertThat(seen("a", 0)).isEqualTo(KeyMemory.Known.NEW);
        assertThat(seen("a", 10)).isEqualTo(KeyMemory.Known.RUNNING);
        memory.done("a");
        assertThat(woken).hasValue(1);
        assertThat(seen("a", 99)).isEqualTo(KeyMemory.Known.DONE);
        assertThat(seen("a", 100)).isEqualTo(KeyMemory.Known.NEW);
    }

    @Test
    void aKeyWhoseFirstDidNotRunIsNewAgain() {
        seen("a", 0);
        seen("a", 1);
        memory.forget("a");
        assertThat(woken).hasValue(1);
        assertThat(seen("a", 2)).isEqualTo(KeyMemory.Known.NEW);
    }

    @Test
    void whatIsPastItsWindowMakesRoom() {
        for (int i = 0; i < 10_000; i++) {
            seen("k" + i, i);
        }
        assertThat(memory.size()).isLessThanOrEqualTo(101);
    }
}
