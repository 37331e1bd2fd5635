package rillyard.imbalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Runs of uniform load by seeds, and what is planted in them. */
class ImbalanceReportTest {
    private static final int HOSTS = 40;
    private static final int PROXIES = 200;
    private static final long SECONDS = 20;
    private static final long RATE = 300;
    private static final long S = 1_000_000;

    private static List<HostArrival> uniform(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<HostArrival> out = new ArrayList<>();
        double at = 0;
        while ((at += random.nextExponential() * S / RATE) < SECONDS * S) {
            out.add(arrival(
                    (long) at, random.nextInt(HOSTS), random.nextInt(PROXIES), random.nextInt(3) == 0 ? 8_000 : 0));
        }
        return out;
    }

    private static HostArrival arrival(long at, int host, int proxy, long waited) {
        return new HostArrival(at, "s-" + host, "m" + proxy, true, waited, 20_000 + waited);
    }

    private static HostAvailability all() {
        HostAvailability availability = new HostAvailability();
        for (int h = 0; h < HOSTS; h++) {
            availability.add("s-" + h, 1, 0, SECONDS * S);
        }
        return availability;
    }

    @Test
    void uniformLoadRaisesFewFalseAlarms() {
        int herds = 0;
        int idle = 0;
        for (long seed = 1; seed <= 300; seed++) {
            ImbalanceReport report = ImbalanceReport.of(uniform(seed), all(), List.of(), S);
            herds += report.herds().isEmpty() ? 0 : 1;
            idle += report.idle().isEmpty() ? 0 : 1;
        }
        // A bound of 1 % allows 3 runs of 300 in the mean; 9 and more have a probability of 0.4 %.
        assertThat(herds).as("runs with a false herd").isLessThan(9);
        assertThat(idle).as("runs with a host falsely idle").isLessThan(9);
    }

    @Test
    void aHerdThatIsOverAtOnceIsFoundWithWhoTookPartAndWhatCameBefore() {
        List<HostArrival> arrivals = uniform(5);
        for (int p = 0; p < 30; p++) {
            arrivals.add(arrival(10 * S + p * 500, 7, p, 0));
        }
        List<TimelineEvent> marks = List.of(
                new TimelineEvent(3 * S, "", "a list"),
                new TimelineEvent(10 * S - 40_000, "s-7", "s-7 started"),
                new TimelineEvent(10 * S - 30_000, "s-8", "s-8 started"));
        List<Herd> herds = ImbalanceReport.of(arrivals, all(), marks, S).herds();
        assertThat(herds).hasSize(1);
        Herd herd = herds.get(0);
        assertThat(herd.host()).isEqualTo("s-7");
        assertThat(herd.from()).isBetween(10 * S - 400_000, 10 * S);
        assertThat(herd.count()).isGreaterThanOrEqualTo(28);
        assertThat(herd.proxies()).isGreaterThanOrEqualTo(28);
        assertThat(herd.before()).containsExactly(marks.get(1));
    }

    @Test
    void aHerdOfFourTimesTheShareForSecondsIsFoundAndOneOfTwiceIsNone() {
        List<HostArrival> four = uniform(6);
        List<HostArrival> twice = uniform(6);
        SplittableRandom random = new SplittableRandom(9);
        long each = HOSTS * S / RATE; // between two arrivals at one host
        for (long at = 8 * S; at < 12 * S; at += each / 3) {
            four.add(arrival(at, 3, random.nextInt(PROXIES), 0));
        }
        for (long at = 8 * S; at < 12 * S; at += each) {
            twice.add(arrival(at, 3, random.nextInt(PROXIES), 0));
        }
        assertThat(ImbalanceReport.of(four, all(), List.of(), S).herds())
                .isNotEmpty()
                .allMatch(herd -> herd.host().equals("s-3"));
        assertThat(ImbalanceReport.of(twice, all(), List.of(), S).herds()).isEmpty();
    }

    @Test
    void repeatedAttemptsMakeNoHerd() {
        List<HostArrival> arrivals = uniform(5);
        for (int p = 0; p < 30; p++) {
            arrivals.add(new HostArrival(10 * S + p * 500, "s-7", "m" + p, false, 0, 20_000));
        }
        assertThat(ImbalanceReport.of(arrivals, all(), List.of(), S).herds()).isEmpty();
    }

    @Test
    void aHostThatGetsNothingWhileOthersQueueIsIdleUnlessItIsDown() {
        List<HostArrival> without = uniform(7);
        without.removeIf(arrival -> arrival.host().equals("s-4") && arrival.at() > 5 * S && arrival.at() < 8 * S);
        List<IdleHost> idle = ImbalanceReport.of(without, all(), List.of(), S).idle();
        assertThat(idle).hasSize(1);
        assertThat(idle.get(0).host()).isEqualTo("s-4");
        assertThat(idle.get(0).until() - idle.get(0).from()).isGreaterThan(3 * S - 100_000);
        HostAvailability down = new HostAvailability();
        for (int h = 0; h < HOSTS; h++) {
            if (h == 4) {
                down.add("s-4", 1, 0, 5 * S);
                down.add("s-4", 1, 8 * S, SECONDS * S);
            } else {
                down.add("s-" + h, 1, 0, SECONDS * S);
            }
        }
        assertThat(ImbalanceReport.of(without, down, List.of(), S).idle()).isEmpty();
        HostAvailability early = new HostAvailability();
        for (int h = 0; h < HOSTS; h++) {
            early.add("s-" + h, 1, -60 * S, SECONDS * S + 60 * S);
        }
        assertThat(ImbalanceReport.of(without, early, List.of(), S).idle())
                .as("before the first and after the last")
                .hasSize(1);
        List<HostArrival> calm = without.stream()
                .map(hostArrival ->
                        new HostArrival(hostArrival.at(), hostArrival.host(), hostArrival.proxy(), true, 0, 20_000))
                .toList();
        assertThat(ImbalanceReport.of(calm, all(), List.of(), S).idle())
                .as("where nobody queues")
                .isEmpty();
    }

    @Test
    void evennessIsCountedInSharesOfEachHost() {
        Evenness even = Evenness.of(Map.of("a", 30, "b", 10), Map.of("a", 0.75, "b", 0.25));
        assertThat(even.most()).isEqualTo(1);
        assertThat(even.variation()).isZero();
        assertThat(even.jain()).isEqualTo(1);
        Evenness one = Evenness.of(Map.of("a", 40), Map.of("a", 0.25, "b", 0.25, "c", 0.25, "d", 0.25));
        assertThat(one.jain()).isCloseTo(0.25, within(1e-9));
        assertThat(one.most()).isCloseTo(4, within(1e-9));
        assertThat(one.least()).isZero();
        assertThat(one.chanceVariation()).isCloseTo(Math.sqrt(0.75 / 10), within(1e-9));
    }

    @Test
    void chanceIsThatOfABinomial() {
        assertThat(MultinomialBaseline.atLeast(2, 2, 0.5)).isCloseTo(0.25, within(1e-12));
        assertThat(MultinomialBaseline.atLeast(0, 5, 0.1)).isEqualTo(1);
        assertThat(MultinomialBaseline.atLeast(6, 5, 0.1)).isZero();
        assertThat(MultinomialBaseline.none(3, 0.5)).isCloseTo(0.125, within(1e-12));
    }
}
