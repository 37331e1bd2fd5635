package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class IdempotencyKeyStoreTest {
    private final IdempotencyKeyStore memory = new IdempotencyKeyStore(100);
    private final AtomicInteger woken = new AtomicInteger();

    private IdempotencyKeyStore.Known seen(String key, long now) {
        return memory.seen(key, now, woken::incrementAndGet);
    }

    @Test
    void aKeyIsNewOnceThenKnownUntilItsWindowIsPast() {
        assertThat(seen("a", 0)).isEqualTo(IdempotencyKeyStore.Known.NEW);
        assertThat(seen("a", 10)).isEqualTo(IdempotencyKeyStore.Known.RUNNING);
        memory.done("a");
        assertThat(woken).hasValue(1);
        assertThat(seen("a", 99)).isEqualTo(IdempotencyKeyStore.Known.DONE);
        assertThat(seen("a", 100)).isEqualTo(IdempotencyKeyStore.Known.NEW);
    }

    @Test
    void aKeyWhoseFirstDidNotRunIsNewAgain() {
        seen("a", 0);
        seen("a", 1);
        memory.forget("a");
        assertThat(woken).hasValue(1);
        assertThat(seen("a", 2)).isEqualTo(IdempotencyKeyStore.Known.NEW);
    }

    @Test
    void whatIsPastItsWindowMakesRoom() {
        for (int i = 0; i < 10_000; i++) {
            seen("k" + i, i);
        }
        assertThat(memory.size()).isLessThanOrEqualTo(101);
    }
}
