package rillyard.imbalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Runs of uniform load by seeds, and the herds and idle hosts planted in them. */
class ImbalanceReportTest {
    private static final int HOSTS = 40;
    private static final int PROXIES = 200;
    private static final long SECONDS = 20;
    private static final long REQUESTS_PER_SECOND = 300;
    private static final long SECOND_MICROS = 1_000_000;

    private static List<HostArrival> uniformArrivals(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<HostArrival> out = new ArrayList<>();
        double at = 0;
        while ((at += random.nextExponential() * SECOND_MICROS / REQUESTS_PER_SECOND) < SECONDS * SECOND_MICROS) {
            out.add(arrival(
                    (long) at, random.nextInt(HOSTS), random.nextInt(PROXIES), random.nextInt(3) == 0 ? 8_000 : 0));
        }
        return out;
    }

    private static HostArrival arrival(long at, int host, int proxy, long waited) {
        return new HostArrival(at, "s-" + host, "m" + proxy, true, waited, 20_000 + waited);
    }

    private static HostAvailability allHostsAvailable() {
        HostAvailability availability = new HostAvailability();
        for (int host = 0; host < HOSTS; host++) {
            availability.add("s-" + host, 1, 0, SECONDS * SECOND_MICROS);
        }
        return availability;
    }

    @Test
    void uniformLoadRarelyRaisesFalseAlarm() {
        int herds = 0;
        int idle = 0;
        for (long seed = 1; seed <= 300; seed++) {
            ImbalanceReport report =
                    ImbalanceReport.of(uniformArrivals(seed), allHostsAvailable(), List.of(), SECOND_MICROS);
            herds += report.herds().isEmpty() ? 0 : 1;
            idle += report.idleHosts().isEmpty() ? 0 : 1;
        }
        // A bound of 1 % allows 3 runs of 300 in the mean; 9 and more have a probability of 0.4 %.
        assertThat(herds).as("runs with a false herd").isLessThan(9);
        assertThat(idle).as("runs with a host falsely idle").isLessThan(9);
    }

    @Test
    void shortHerdIsFoundWithProxiesAndPrecedingEvents() {
        List<HostArrival> arrivals = uniformArrivals(5);
        for (int proxy = 0; proxy < 30; proxy++) {
            arrivals.add(arrival(10 * SECOND_MICROS + proxy * 500L, 7, proxy, 0));
        }
        List<TimelineEvent> marks = List.of(
                new TimelineEvent(3 * SECOND_MICROS, "", "a list"),
                new TimelineEvent(10 * SECOND_MICROS - 40_000, "s-7", "s-7 started"),
                new TimelineEvent(10 * SECOND_MICROS - 30_000, "s-8", "s-8 started"));
        List<Herd> herds = ImbalanceReport.of(arrivals, allHostsAvailable(), marks, SECOND_MICROS)
                .herds();
        assertThat(herds).hasSize(1);
        Herd herd = herds.get(0);
        assertThat(herd.host()).isEqualTo("s-7");
        assertThat(herd.from()).isBetween(10 * SECOND_MICROS - 400_000, 10 * SECOND_MICROS);
        assertThat(herd.count()).isGreaterThanOrEqualTo(28);
        assertThat(herd.proxies()).isGreaterThanOrEqualTo(28);
        assertThat(herd.precedingEvents()).containsExactly(marks.get(1));
    }

    @Test
    void herdOfFourTimesShareIsFoundAndTwiceIsNot() {
        List<HostArrival> four = uniformArrivals(6);
        List<HostArrival> twice = uniformArrivals(6);
        SplittableRandom random = new SplittableRandom(9);
        long each = HOSTS * SECOND_MICROS / REQUESTS_PER_SECOND; // between two arrivals at one host
        for (long at = 8 * SECOND_MICROS; at < 12 * SECOND_MICROS; at += each / 3) {
            four.add(arrival(at, 3, random.nextInt(PROXIES), 0));
        }
        for (long at = 8 * SECOND_MICROS; at < 12 * SECOND_MICROS; at += each) {
            twice.add(arrival(at, 3, random.nextInt(PROXIES), 0));
        }
        assertThat(ImbalanceReport.of(four, allHostsAvailable(), List.of(), SECOND_MICROS)
                        .herds())
                .isNotEmpty()
                .allMatch(herd -> herd.host().equals("s-3"));
        assertThat(ImbalanceReport.of(twice, allHostsAvailable(), List.of(), SECOND_MICROS)
                        .herds())
                .isEmpty();
    }

    @Test
    void retriesAreNoHerd() {
        List<HostArrival> arrivals = uniformArrivals(5);
        for (int proxy = 0; proxy < 30; proxy++) {
            arrivals.add(new HostArrival(10 * SECOND_MICROS + proxy * 500L, "s-7", "m" + proxy, false, 0, 20_000));
        }
        assertThat(ImbalanceReport.of(arrivals, allHostsAvailable(), List.of(), SECOND_MICROS)
                        .herds())
                .isEmpty();
    }

    @Test
    void hostWithoutRequestsWhileOthersQueueIsIdleUnlessDown() {
        List<HostArrival> without = uniformArrivals(7);
        without.removeIf(arrival ->
                arrival.host().equals("s-4") && arrival.at() > 5 * SECOND_MICROS && arrival.at() < 8 * SECOND_MICROS);
        List<IdleHost> idle = ImbalanceReport.of(without, allHostsAvailable(), List.of(), SECOND_MICROS)
                .idleHosts();
        assertThat(idle).hasSize(1);
        assertThat(idle.get(0).host()).isEqualTo("s-4");
        assertThat(idle.get(0).to() - idle.get(0).from()).isGreaterThan(3 * SECOND_MICROS - 100_000);
        HostAvailability down = new HostAvailability();
        for (int host = 0; host < HOSTS; host++) {
            if (host == 4) {
                down.add("s-4", 1, 0, 5 * SECOND_MICROS);
                down.add("s-4", 1, 8 * SECOND_MICROS, SECONDS * SECOND_MICROS);
            } else {
                down.add("s-" + host, 1, 0, SECONDS * SECOND_MICROS);
            }
        }
        assertThat(ImbalanceReport.of(without, down, List.of(), SECOND_MICROS).idleHosts())
                .isEmpty();
        HostAvailability early = new HostAvailability();
        for (int host = 0; host < HOSTS; host++) {
            early.add("s-" + host, 1, -60 * SECOND_MICROS, SECONDS * SECOND_MICROS + 60 * SECOND_MICROS);
        }
        assertThat(ImbalanceReport.of(without, early, List.of(), SECOND_MICROS).idleHosts())
                .as("before the first and after the last")
                .hasSize(1);
        List<HostArrival> calm = without.stream()
                .map(hostArrival ->
                        new HostArrival(hostArrival.at(), hostArrival.host(), hostArrival.proxy(), true, 0, 20_000))
                .toList();
        assertThat(ImbalanceReport.of(calm, allHostsAvailable(), List.of(), SECOND_MICROS)
                        .idleHosts())
                .as("where nobody queues")
                .isEmpty();
    }

    @Test
    void evennessIsRelativeToHostShares() {
        Evenness even = Evenness.of(Map.of("a", 30, "b", 10), Map.of("a", 0.75, "b", 0.25));
        assertThat(even.maxOverMean()).isEqualTo(1);
        assertThat(even.coefficientOfVariation()).isZero();
        assertThat(even.jainIndex()).isEqualTo(1);
        Evenness one = Evenness.of(Map.of("a", 40), Map.of("a", 0.25, "b", 0.25, "c", 0.25, "d", 0.25));
        assertThat(one.jainIndex()).isCloseTo(0.25, within(1e-9));
        assertThat(one.maxOverMean()).isCloseTo(4, within(1e-9));
        assertThat(one.minOverMean()).isZero();
        assertThat(one.expectedVariation()).isCloseTo(Math.sqrt(0.75 / 10), within(1e-9));
    }

    @Test
    void baselineIsBinomial() {
        assertThat(MultinomialBaseline.probabilityOfAtLeast(2, 2, 0.5)).isCloseTo(0.25, within(1e-12));
        assertThat(MultinomialBaseline.probabilityOfAtLeast(0, 5, 0.1)).isEqualTo(1);
        assertThat(MultinomialBaseline.probabilityOfAtLeast(6, 5, 0.1)).isZero();
        assertThat(MultinomialBaseline.probabilityOfNone(3, 0.5)).isCloseTo(0.125, within(1e-12));
    }
}
