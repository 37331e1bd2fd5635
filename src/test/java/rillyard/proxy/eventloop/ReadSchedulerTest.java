package rillyard.proxy.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.stall.StallDetector;

/**
 * Guards against long transfers that take the event loop for themselves: short messages wait for a whole turn of them,
 * and connections at the end of a turn are never read.
 */
class ReadSchedulerTest {
    private static final int READ_BYTES = 16_384;

    /** Time that the handling of a full read takes. */
    private static final long COSTLY_NANOS = 3_000_000L;

    /** Time in which a turn must end, for any number of transfers. */
    private static final long MAX_TURN_NANOS = 20_000_000L;

    private final StallDetector detector = new StallDetector(0);
    private final ReadScheduler scheduler = new ReadScheduler(detector);
    private long nowNanos = 1;

    private void beginTurn() {
        detector.beforePoll(nowNanos, nowNanos);
        detector.afterPoll(nowNanos);
    }

    /** Reads from a connection and returns the granted bytes; the handling takes time in proportion. */
    private int read(ReadUsage usage) {
        int granted = scheduler.maxBytes(usage, READ_BYTES, nowNanos);
        long durationNanos = COSTLY_NANOS * granted / READ_BYTES;
        nowNanos += durationNanos;
        if (granted != ReadScheduler.DEFERRED) {
            usage.onHandled(durationNanos);
        }
        return granted;
    }

    private static List<ReadUsage> transfers(int count) {
        List<ReadUsage> usages = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            usages.add(new ReadUsage());
        }
        return usages;
    }

    private void runTurn(List<ReadUsage> usages, long[] readBytes) {
        beginTurn();
        for (int i = 0; i < usages.size(); i++) {
            readBytes[i] += read(usages.get(i));
        }
    }

    @Test
    void turnsOfManyTransfersAreShortAndShortMessagesAreReadInEach() {
        List<ReadUsage> usages = transfers(341);
        long[] readBytes = new long[usages.size()];
        for (int i = 0; i < 5; i++) {
            runTurn(usages, readBytes); // all of them become known as transfers
        }
        for (int i = 0; i < 500; i++) {
            long beganAtNanos = nowNanos;
            runTurn(usages, readBytes);
            assertThat(nowNanos - beganAtNanos).isLessThan(MAX_TURN_NANOS);
            assertThat(read(new ReadUsage())).as("a short message").isPositive();
        }
    }

    @Test
    void transfersAreReadEquallyOften() {
        List<ReadUsage> usages = transfers(100);
        runTurn(usages, new long[usages.size()]);
        long[] readBytes = new long[usages.size()];
        for (int i = 0; i < 1_000; i++) {
            runTurn(usages, readBytes);
        }
        long least = Long.MAX_VALUE;
        long most = 0;
        for (long bytes : readBytes) {
            least = Math.min(least, bytes);
            most = Math.max(most, bytes);
        }
        assertThat(least).isGreaterThan(most / 2);
    }

    @Test
    void transferAloneIsNeverDeferredInShortTurns() {
        ReadUsage usage = new ReadUsage();
        for (int i = 0; i < 100; i++) {
            beginTurn();
            assertThat(read(usage)).isEqualTo(READ_BYTES);
            assertThat(read(usage)).isEqualTo(READ_BYTES);
        }
    }

    @Test
    void transferIsLightAgainAfterAPause() {
        ReadUsage usage = new ReadUsage();
        beginTurn();
        read(usage);
        assertThat(usage.isHeavy(1, nowNanos)).isTrue();
        assertThat(usage.isHeavy(50, nowNanos + 300_000_000L)).isFalse();
    }
}
