package rillyard.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Starts of hosts on the balancer's clock, with wall clocks that are right and wrong. */
class HostStartClockTest {
    private static final double WARM_UP = 8_000;
    private static final double HOUR = 3_600_000;

    /** The true clock of the lists less the balancer's. */
    private static final double OFFSET = 1.7e12;

    /** When the process starts, on the balancer's clock. */
    private static final double START = 1e9;

    private static final double EXACT = 0.01;

    private static HostStartClock clockWithWallClockAheadBy(double error) {
        return new HostStartClock(OFFSET + error, WARM_UP);
    }

    private static double unix(double at) {
        return OFFSET + at;
    }

    private static double learn(HostStartClock clock, String host, double startedAt, double now) {
        return clock.onList(false, Map.of(host, unix(startedAt)), now).get(host);
    }

    /** Learns a list of hosts that are warm, as most proxies start with. */
    private static HostStartClock afterFirstList(double wallClockError) {
        HostStartClock clock = clockWithWallClockAheadBy(wallClockError);
        clock.onList(false, Map.of("a", unix(START - 5 * HOUR), "b", unix(START - 6 * HOUR)), START);
        return clock;
    }

    @Test
    void rightWallClockGivesExactStarts() {
        HostStartClock clock = clockWithWallClockAheadBy(0);

        Map<String, Double> first = clock.onList(
                false, Map.of("old", unix(START - HOUR), "young", unix(START - 2_000), "unstated", 0.0), START);

        assertThat(first.get("old")).isEqualTo(START - HOUR, within(EXACT));
        assertThat(first.get("young")).isEqualTo(START - 2_000, within(EXACT));
        assertThat(first.get("unstated")).isZero();
        assertThat(learn(clock, "young", START + 9_700, START + 10_000)).isEqualTo(START + 9_700, within(EXACT));
        assertThat(learn(clock, "new", START + 19_600, START + 20_000)).isEqualTo(START + 19_600, within(EXACT));
    }

    @Test
    void confirmedWallClockGivesExactStartsLearntLate() {
        HostStartClock clock = afterFirstList(0);
        learn(clock, "c", START + 9_900, START + 10_000);
        learn(clock, "d", START + 9_900, START + 10_000);

        assertThat(learn(clock, "e", START - HOUR, START + 60_000)).isEqualTo(START - HOUR, within(EXACT));
        assertThat(learn(clock, "a", START + 50_000, START + 60_000)).isEqualTo(START + 50_000, within(EXACT));
    }

    @Test
    void wallClockBehindMakesNoHostYoungerThanItsListing() {
        HostStartClock clock = clockWithWallClockAheadBy(-HOUR);

        Map<String, Double> first = clock.onList(
                false, Map.of("a", unix(START - 5_000), "b", unix(START - 10_000), "c", unix(START - 600_000)), START);

        assertThat(first.get("a")).isEqualTo(START);
        assertThat(first.get("b")).isEqualTo(START);
        assertThat(first.get("c")).as("590 s older than the second newest").isEqualTo(START - 590_000, within(EXACT));
        assertThat(learn(clock, "d", START + 9_900, START + 10_000)).isEqualTo(START + 10_000);
    }

    @Test
    void wallClockAheadMakesNoLaterStartOlder() {
        HostStartClock clock = afterFirstList(HOUR);

        assertThat(learn(clock, "new", START + 9_900, START + 10_000)).isEqualTo(START + 10_000);
        assertThat(learn(clock, "a", START + 19_950, START + 20_000)).isEqualTo(START + 20_000);
        assertThat(learn(clock, "b", START + 29_950, START + 30_000)).isBetween(START + 29_950, START + 30_000);
    }

    @Test
    void wallClockAheadBySecondsMakesNoLaterStartOlder() {
        HostStartClock clock = afterFirstList(4_000);

        assertThat(learn(clock, "a", START + 9_900, START + 10_000)).isEqualTo(START + 10_000);
    }

    @Test
    void youngHostOfFirstListIsCorrectedOnceRestartShowsWallClockAhead() {
        HostStartClock clock = clockWithWallClockAheadBy(HOUR);
        Map<String, Double> first = clock.onList(
                false, Map.of("young", unix(START - 1_000), "old", unix(START - HOUR), "c", unix(START - HOUR)), START);
        assertThat(first.get("young")).as("not to be told from an old host").isLessThan(START - WARM_UP);

        Map<String, Double> later = clock.onList(false, Map.of("c", unix(START + 2_000)), START + 2_050);

        assertThat(later.get("young")).isBetween(START - 1_000, START);
        assertThat(later).doesNotContainKey("old");
        assertThat(learn(clock, "young", START - 1_000, START + 3_000)).isEqualTo(later.get("young"));
    }

    @Test
    void hostKeepsItsStartWhileListsLackIt() {
        HostStartClock clock = afterFirstList(0);
        clock.onList(false, Map.of("a", unix(START - 5 * HOUR)), START + 5_000);

        assertThat(learn(clock, "b", START - 6 * HOUR, START + 10_000)).isEqualTo(START - 6 * HOUR, within(EXACT));
    }

    @Test
    void oneHostWithClockAheadMakesNoOtherOlder() {
        HostStartClock clock = clockWithWallClockAheadBy(0);

        Map<String, Double> first =
                clock.onList(false, Map.of("a", unix(START + HOUR), "b", unix(START - 1_000), "c", 0.0), START);

        assertThat(first.get("a")).isEqualTo(START);
        assertThat(first.get("b")).isEqualTo(START - 1_000, within(EXACT));
        assertThat(learn(clock, "c", START + 9_950, START + 10_000)).isEqualTo(START + 9_950, within(EXACT));
    }

    @Test
    void newProcessIsNotOlderThanTheListingOfTheFormerOne() {
        HostStartClock clock = afterFirstList(0);
        learn(clock, "c", START + 9_900, START + 10_000);
        learn(clock, "d", START + 9_900, START + 10_000);

        assertThat(learn(clock, "d", START + 30_000 - HOUR, START + 30_000)).isEqualTo(START + 30_000);
        assertThat(learn(clock, "a", START + 40_000 - HOUR, START + 40_000)).isEqualTo(START + 40_000);
    }

    @Test
    void cachedListProvesNothingAboutWallClock() {
        HostStartClock clock = clockWithWallClockAheadBy(0);
        clock.onList(true, Map.of("a", unix(START - 5 * HOUR)), START);

        Map<String, Double> first = clock.onList(false, Map.of("a", unix(START - HOUR)), START + 50);

        assertThat(first.get("a")).isEqualTo(START - HOUR, within(EXACT));
    }

    @Property
    void laterStartIsNeverTakenForMuchOlder(
            @ForAll @DoubleRange(min = -2 * HOUR, max = 2 * HOUR) double wallClockError,
            @ForAll @Size(max = 6) List<@DoubleRange(max = 5 * HOUR) Double> agesAtFirst,
            @ForAll @Size(min = 1, max = 20) List<@DoubleRange(max = 20_000) Double> ages) {
        HostStartClock clock = clockWithWallClockAheadBy(wallClockError);
        for (int i = 0; i < agesAtFirst.size(); i++) {
            double age = agesAtFirst.get(i);
            assertThat(clock.onList(true, Map.of("first" + i, unix(START - age)), START)
                            .get("first" + i))
                    .isLessThanOrEqualTo(START);
        }
        clock.onList(false, Map.of(), START);
        double now = START;
        for (int i = 0; i < ages.size(); i++) {
            now += 25_000;
            double startedAt = now - ages.get(i);
            assertThat(learn(clock, "host" + i % 4, startedAt, now))
                    .isBetween(startedAt - HostStartClock.TOLERANCE_MILLIS - EXACT, now);
        }
    }

    @Property
    void rightWallClockGivesExactStartsWhereverTheyAreLearntInTime(
            @ForAll @Size(max = 6) List<@DoubleRange(max = 5 * HOUR) Double> agesAtFirst,
            @ForAll @Size(max = 20) List<@DoubleRange(max = 499) Double> ages) {
        HostStartClock clock = clockWithWallClockAheadBy(0);
        for (int i = 0; i < agesAtFirst.size(); i++) {
            double startedAt = START - agesAtFirst.get(i);
            assertThat(clock.onList(true, Map.of("first" + i, unix(startedAt)), START)
                            .get("first" + i))
                    .isEqualTo(startedAt, within(EXACT));
        }
        clock.onList(false, Map.of(), START);
        double now = START;
        for (int i = 0; i < ages.size(); i++) {
            now += 1_000;
            double startedAt = now - ages.get(i);
            assertThat(learn(clock, "host" + i % 4, startedAt, now)).isEqualTo(startedAt, within(EXACT));
        }
    }
}
