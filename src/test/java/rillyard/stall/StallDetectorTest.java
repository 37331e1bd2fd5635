package rillyard.stall;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private static final long MS = 1_000_000;
    private final StallDetector gaps = new StallDetector(0);

    private void look(long from, long alarm, long to) {
        gaps.beforePoll(from * MS, alarm * MS);
        gaps.afterPoll(to * MS);
    }

    @Test
    void whatWakesASleepingLoopHasNotWaited() {
        look(0, 250, 200);
        assertThat(gaps.readableSince()).isEqualTo(200 * MS);
        assertThat(gaps.lateNanos()).isZero();
    }

    @Test
    void whatComesDuringALongTurnMayHaveWaitedSinceTheLastLook() {
        look(0, 250, 200);
        look(290, 290, 290);
        assertThat(gaps.readableSince()).isEqualTo(200 * MS);
        assertThat(gaps.lateNanos()).isEqualTo(90 * MS);
    }

    @Test
    void aLoopThatSleepsPastItsAlarmStoodStill() {
        look(0, 250, 1_200);
        assertThat(gaps.readableSince()).isEqualTo(250 * MS);
        assertThat(gaps.lateNanos()).isEqualTo(950 * MS);
    }

    @Test
    void aLookThatNeverSleptTellsNothingOfHowLongItTook() {
        look(0, 250, 10);
        look(20, 23, 24); // starved of its core within the look itself
        assertThat(gaps.readableSince()).isEqualTo(10 * MS);
    }

    @Test
    void aLateLookThatBringsNothingMayHaveBeenNone() {
        look(0, 250, 1_200);
        gaps.onEmptyPoll();
        look(1_201, 1_201, 1_201);
        assertThat(gaps.readableSince()).isEqualTo(250 * MS);
        gaps.onEmptyPoll();
        look(1_202, 1_202, 1_202);
        assertThat(gaps.readableSince()).as("a look without a wait is one").isEqualTo(1_201 * MS);
    }

    @Test
    void connectionsLeftInTheBacklogHaveWaitedSinceItWasEmpty() {
        look(0, 250, 200);
        assertThat(gaps.acceptableSince()).isEqualTo(200 * MS);
        look(240, 240, 240);
        assertThat(gaps.acceptableSince()).as("left over by the turn before").isEqualTo(200 * MS);
        gaps.onBacklogEmpty();
        look(260, 260, 260);
        assertThat(gaps.acceptableSince()).isEqualTo(240 * MS);
        look(300, 500, 400); // this turn accepts nothing
        look(401, 700, 600);
        assertThat(gaps.acceptableSince()).as("no look at the backlog is owed").isEqualTo(600 * MS);
    }

    @Test
    void theFirstReadBehindAnAcceptCountsFromTheAccept() {
        look(0, 250, 200);
        long turn = gaps.turn();
        long since = gaps.acceptableSince();
        look(240, 240, 240);
        look(280, 280, 280);
        assertThat(gaps.readableSince(turn + 1, since)).isEqualTo(200 * MS);
        assertThat(gaps.readableSince(turn, since)).as("it came later").isEqualTo(240 * MS);
    }
}
