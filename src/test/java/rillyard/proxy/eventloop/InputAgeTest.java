package rillyard.proxy.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against input that counts as younger than it may be, and against old input that makes later input old. */
class InputAgeTest {
    private static final long MILLI = 1_000_000L;

    private final InputAge age = new InputAge();

    private void read(boolean isComplete, long turn, long atMillis, long readableSinceMillis) {
        age.onRead(isComplete, turn, atMillis * MILLI, readableSinceMillis * MILLI);
    }

    private void assertSentSince(long millis) {
        assertThat(age.sentSinceNanos()).isEqualTo(millis * MILLI);
    }

    @Test
    void inputIsAsOldAsItsTurnAllows() {
        read(true, 1, 100, 99);
        assertSentSince(99);
        assertThat(age.hasUnreadInput(1, 100 * MILLI)).isFalse();
        read(true, 2, 101, 100);
        assertSentSince(100);
    }

    @Test
    void inputThatTurnsLeaveIsAsOldAsTheFirstOfThem() {
        read(false, 1, 100, 90);
        read(false, 2, 101, 100);
        read(true, 3, 102, 101);
        assertSentSince(90);
    }

    @Test
    void inputThatArrivesWhileReadingIsPausedIsAsOldAsThePause() {
        read(true, 1, 100, 99);
        age.onPaused(1, 150 * MILLI);
        assertThat(age.hasUnreadInput(8, 900 * MILLI)).isTrue();
        age.onResumed(1, 900 * MILLI);
        read(true, 2, 901, 900);
        assertSentSince(150);
    }

    @Test
    void senderWithMoreInItsKernelIsStillBehindThoughSocketIsEmpty() {
        age.onPaused(0, 100 * MILLI);
        age.onResumed(0, 500 * MILLI);
        read(true, 1, 501, 500);
        assertThat(age.hasUnreadInput(1, 502 * MILLI)).isTrue();
        assertThat(age.hasUnreadInput(1, 507 * MILLI)).isFalse();
    }

    @Test
    void silenceOrShortTurnsOrEndOfMessageEndTheWait() {
        age.onPaused(0, 100 * MILLI);
        age.onResumed(0, 500 * MILLI);
        read(true, 1, 501, 500);
        read(true, 2, 507, 506);
        assertSentSince(506);
        age.onPaused(2, 600 * MILLI);
        age.onResumed(2, 700 * MILLI);
        for (int turn = 3; turn <= 7; turn++) {
            read(true, turn, 698 + turn, 697 + turn);
        }
        assertSentSince(704);
        age.onPaused(7, 800 * MILLI);
        age.onResumed(7, 900 * MILLI);
        read(true, 8, 901, 900);
        age.onMessageComplete();
        read(true, 9, 902, 901);
        assertSentSince(901);
    }

    /** A request that fills the read buffer exactly leaves nothing, which only the next poll shows. */
    @Test
    void readThatFillsBufferDoesNotMakeLaterInputOld() {
        read(false, 1, 100, 99);
        assertThat(age.hasUnreadInput(2, 101 * MILLI)).isTrue();
        assertThat(age.hasUnreadInput(3, 101 * MILLI)).isFalse();
        age.onMessageComplete();
        read(true, 9, 1_100, 1_099);
        assertSentSince(1_099);
    }

    @Test
    void emptySocketBehindFullReadEndsWait() {
        read(false, 1, 100, 99);
        age.onSocketEmpty();
        assertThat(age.hasUnreadInput(1, 100 * MILLI)).isFalse();
        read(true, 2, 101, 100);
        assertSentSince(100);
    }
}
