package rillyard.stall;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests the times for which input may have waited, given the times of polls in ms.
 *
 * <p>Guards against a stall that is not deducted from the remaining time of requests, as a socket doesn't report when
 * bytes arrived, and against a deduction from requests that have not waited.
 */
class StallDetectorTest {
    /** Nanoseconds per millisecond. */
    private static final long MS = 1_000_000;

    private final StallDetector detector = new StallDetector(0);

    private void poll(long fromMillis, long wakeUpAtMillis, long toMillis) {
        detector.beforePoll(fromMillis * MS, wakeUpAtMillis * MS);
        detector.afterPoll(toMillis * MS);
    }

    @Test
    void inputThatWakesSleepingLoopHasNotWaited() {
        poll(0, 250, 200);
        assertThat(detector.readableSince()).isEqualTo(200 * MS);
        assertThat(detector.lateNanos()).isZero();
    }

    @Test
    void inputDuringLongTurnMayHaveWaitedSincePreviousPoll() {
        poll(0, 250, 200);
        poll(290, 290, 290);
        assertThat(detector.readableSince()).isEqualTo(200 * MS);
        assertThat(detector.lateNanos()).isEqualTo(90 * MS);
    }

    @Test
    void loopThatSleepsPastItsWakeUpTimeWasPaused() {
        poll(0, 250, 1_200);
        assertThat(detector.readableSince()).isEqualTo(250 * MS);
        assertThat(detector.lateNanos()).isEqualTo(950 * MS);
    }

    @Test
    void durationOfPollWithoutSleepIsNoWaitingTime() {
        poll(0, 250, 10);
        poll(20, 23, 24); // the thread was off its core during the poll
        assertThat(detector.readableSince()).isEqualTo(10 * MS);
    }

    @Test
    void latePollThatFindsNothingDoesNotResetWaitingTime() {
        poll(0, 250, 1_200);
        detector.onEmptyPoll();
        poll(1_201, 1_201, 1_201);
        assertThat(detector.readableSince()).isEqualTo(250 * MS);
        detector.onEmptyPoll();
        poll(1_202, 1_202, 1_202);
        assertThat(detector.readableSince())
                .as("a poll that does not sleep has really polled")
                .isEqualTo(1_201 * MS);
    }

    @Test
    void connectionsInBacklogHaveWaitedSinceItWasEmpty() {
        poll(0, 250, 200);
        assertThat(detector.acceptableSince()).isEqualTo(200 * MS);
        poll(240, 240, 240);
        assertThat(detector.acceptableSince())
                .as("left in the backlog by the previous turn")
                .isEqualTo(200 * MS);
        detector.onBacklogEmpty();
        poll(260, 260, 260);
        assertThat(detector.acceptableSince()).isEqualTo(240 * MS);
        poll(300, 500, 400); // this turn accepts nothing
        poll(401, 700, 600);
        assertThat(detector.acceptableSince())
                .as("the backlog was empty in between")
                .isEqualTo(600 * MS);
    }

    @Test
    void firstReadAfterAcceptCountsFromAccept() {
        poll(0, 250, 200);
        long acceptTurn = detector.turn();
        long acceptableSinceNanos = detector.acceptableSince();
        poll(240, 240, 240);
        poll(280, 280, 280);
        assertThat(detector.readableSince(acceptTurn + 1, acceptableSinceNanos)).isEqualTo(200 * MS);
        assertThat(detector.readableSince(acceptTurn, acceptableSinceNanos))
                .as("input of a later turn")
                .isEqualTo(240 * MS);
    }

    @Test
    void connectionMayHaveWaitedSinceAcceptsWerePaused() {
        poll(0, 250, 200);
        poll(210, 250, 230);
        detector.onAcceptsResumed(100 * MS);
        poll(240, 250, 245);
        assertThat(detector.acceptableSince()).isEqualTo(100 * MS);
        detector.onBacklogEmpty();
        poll(260, 500, 300);
        assertThat(detector.acceptableSince())
                .as("the backlog was empty in between")
                .isEqualTo(300 * MS);
    }
}
