package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class IdempotencyKeyStoreTest {
    private final IdempotencyKeyStore keyStore = new IdempotencyKeyStore(100);
    private final AtomicInteger completions = new AtomicInteger();

    private IdempotencyKeyStore.KeyState register(String key, long nowNanos) {
        return keyStore.register(key, nowNanos, completions::incrementAndGet);
    }

    @Test
    void keyIsNewOnceAndKnownWithinWindow() {
        assertThat(register("a", 0)).isEqualTo(IdempotencyKeyStore.KeyState.NEW);
        assertThat(register("a", 10)).isEqualTo(IdempotencyKeyStore.KeyState.RUNNING);
        keyStore.markDone("a");
        assertThat(completions).hasValue(1);
        assertThat(register("a", 99)).isEqualTo(IdempotencyKeyStore.KeyState.DONE);
        assertThat(register("a", 100)).isEqualTo(IdempotencyKeyStore.KeyState.NEW);
    }

    @Test
    void keyOfRequestThatDidNotRunIsNewAgain() {
        register("a", 0);
        register("a", 1);
        keyStore.forget("a");
        assertThat(completions).hasValue(1);
        assertThat(register("a", 2)).isEqualTo(IdempotencyKeyStore.KeyState.NEW);
    }

    @Test
    void expiredKeysAreEvicted() {
        for (int i = 0; i < 10_000; i++) {
            register("k" + i, i);
        }
        assertThat(keyStore.size()).isLessThanOrEqualTo(101);
    }
}
