package rillyard.proxy.downstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against the end of a long body that counts as sent later than it may have been. */
class ReceiveHistoryTest {
    private static final long MIB = 1L << 20;
    private static final long BEGINNING = 7;

    private final ReceiveHistory history = new ReceiveHistory();

    @Test
    void endOfShortBodyMayBeAsOldAsItsBeginning() {
        history.onReceived(MIB, 100);
        assertThat(history.mayHaveBeenSent(4 * MIB)).isTrue();
        assertThat(history.sentSinceNanos(4 * MIB, BEGINNING)).isEqualTo(BEGINNING);
    }

    @Test
    void endOfLongBodyWasNotSentBeforeWhatKernelsHoldAheadOfItWasRead() {
        assertThat(history.mayHaveBeenSent(20 * MIB)).isFalse();
        for (int mib = 1; mib <= 20; mib++) {
            history.onReceived(mib * MIB, 100L * mib);
        }
        long sentSinceNanos = history.sentSinceNanos(20 * MIB, BEGINNING);
        assertThat(sentSinceNanos).isBetween(1_400L, 1_600L); // 15 MiB were read then
    }
}
