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

/**
 * Tests the conversion of the start times of hosts, with wall clocks that are right and wrong. Times are in ms.
 *
 * <p>Guards against a host that gets full load without slow start because it looks older than it is: the wall clock of
 * this machine or the clock of a host is ahead, or a clock has been set back.
 */
class HostStartClockTest {
    private static final double WARM_UP_MILLIS = 8_000;
    private static final double HOUR = 3_600_000;

    /** The true clock of the lists minus the balancer's clock. */
    private static final double OFFSET = 1.7e12;

    /** When the process starts, on the balancer's clock. */
    private static final double START = 1e9;

    private static final double EXACT = 0.01;

    private static HostStartClock clockWithWallClockAheadBy(double errorMillis) {
        return new HostStartClock(OFFSET + errorMillis, WARM_UP_MILLIS);
    }

    private static double unixMillis(double atMillis) {
        return OFFSET + atMillis;
    }

    private static double learn(HostStartClock clock, String host, double startedAtMillis, double nowMillis) {
        return clock.onList(false, Map.of(host, unixMillis(startedAtMillis)), nowMillis)
                .get(host);
    }

    /** Returns a clock that has learnt a list of warm hosts, as most proxies do at their start. */
    private static HostStartClock afterFirstList(double wallClockErrorMillis) {
        HostStartClock clock = clockWithWallClockAheadBy(wallClockErrorMillis);
        clock.onList(false, Map.of("a", unixMillis(START - 5 * HOUR), "b", unixMillis(START - 6 * HOUR)), START);
        return clock;
    }

    @Test
    void rightWallClockGivesExactStarts() {
        HostStartClock clock = clockWithWallClockAheadBy(0);

        Map<String, Double> first = clock.onList(
                false,
                Map.of("old", unixMillis(START - HOUR), "young", unixMillis(START - 2_000), "unstated", 0.0),
                START);

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
                false,
                Map.of(
                        "a", unixMillis(START - 5_000),
                        "b", unixMillis(START - 10_000),
                        "c", unixMillis(START - 600_000)),
                START);

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
                false,
                Map.of(
                        "young", unixMillis(START - 1_000),
                        "old", unixMillis(START - HOUR),
                        "c", unixMillis(START - HOUR)),
                START);
        assertThat(first.get("young")).as("not to be told from an old host").isLessThan(START - WARM_UP_MILLIS);

        Map<String, Double> later = clock.onList(false, Map.of("c", unixMillis(START + 2_000)), START + 2_050);

        assertThat(later.get("young")).isBetween(START - 1_000, START);
        assertThat(later).doesNotContainKey("old");
        assertThat(learn(clock, "young", START - 1_000, START + 3_000)).isEqualTo(later.get("young"));
    }

    @Test
    void hostKeepsItsStartWhileListsLackIt() {
        HostStartClock clock = afterFirstList(0);
        clock.onList(false, Map.of("a", unixMillis(START - 5 * HOUR)), START + 5_000);

        assertThat(learn(clock, "b", START - 6 * HOUR, START + 10_000)).isEqualTo(START - 6 * HOUR, within(EXACT));
    }

    @Test
    void oneHostWithClockAheadMakesNoOtherOlder() {
        HostStartClock clock = clockWithWallClockAheadBy(0);

        Map<String, Double> first = clock.onList(
                false, Map.of("a", unixMillis(START + HOUR), "b", unixMillis(START - 1_000), "c", 0.0), START);

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
        clock.onList(true, Map.of("a", unixMillis(START - 5 * HOUR)), START);

        Map<String, Double> first = clock.onList(false, Map.of("a", unixMillis(START - HOUR)), START + 50);

        assertThat(first.get("a")).isEqualTo(START - HOUR, within(EXACT));
    }

    @Property
    void laterStartIsNeverTakenForMuchOlder(
            @ForAll @DoubleRange(min = -2 * HOUR, max = 2 * HOUR) double wallClockErrorMillis,
            @ForAll @Size(max = 6) List<@DoubleRange(max = 5 * HOUR) Double> agesAtFirstMillis,
            @ForAll @Size(min = 1, max = 20) List<@DoubleRange(max = 20_000) Double> agesMillis) {
        HostStartClock clock = clockWithWallClockAheadBy(wallClockErrorMillis);
        for (int i = 0; i < agesAtFirstMillis.size(); i++) {
            double ageMillis = agesAtFirstMillis.get(i);
            assertThat(clock.onList(true, Map.of("first" + i, unixMillis(START - ageMillis)), START)
                            .get("first" + i))
                    .isLessThanOrEqualTo(START);
        }
        clock.onList(false, Map.of(), START);
        double nowMillis = START;
        for (int i = 0; i < agesMillis.size(); i++) {
            nowMillis += 25_000;
            double startedAtMillis = nowMillis - agesMillis.get(i);
            assertThat(learn(clock, "host" + i % 4, startedAtMillis, nowMillis))
                    .isBetween(startedAtMillis - HostStartClock.TOLERANCE_MILLIS - EXACT, nowMillis);
        }
    }

    @Property
    void rightWallClockGivesExactStartsWhereverTheyAreLearntInTime(
            @ForAll @Size(max = 6) List<@DoubleRange(max = 5 * HOUR) Double> agesAtFirstMillis,
            @ForAll @Size(max = 20) List<@DoubleRange(max = 499) Double> agesMillis) {
        HostStartClock clock = clockWithWallClockAheadBy(0);
        for (int i = 0; i < agesAtFirstMillis.size(); i++) {
            double startedAtMillis = START - agesAtFirstMillis.get(i);
            assertThat(clock.onList(true, Map.of("first" + i, unixMillis(startedAtMillis)), START)
                            .get("first" + i))
                    .isEqualTo(startedAtMillis, within(EXACT));
        }
        clock.onList(false, Map.of(), START);
        double nowMillis = START;
        for (int i = 0; i < agesMillis.size(); i++) {
            nowMillis += 1_000;
            double startedAtMillis = nowMillis - agesMillis.get(i);
            assertThat(learn(clock, "host" + i % 4, startedAtMillis, nowMillis))
                    .isEqualTo(startedAtMillis, within(EXACT));
        }
    }
}
