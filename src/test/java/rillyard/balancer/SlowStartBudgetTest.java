package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Guards against too many requests to a host in slow start, summed over all proxies, for example because each proxy has
 * accumulated an allowance and all use it at once. The limit in each window is N, the requests that the settings allow
 * the host then, plus 2 sqrt(N) + 2 for chance, or 3 sqrt(N) + 3 for N below 30.
 */
class SlowStartBudgetTest {
    private static final String SAFE = "safe";
    private static final long WARMING_HOST = 3;
    private static final double RESTARTED_AT_MILLIS = 20_000;
    private static final double WARM_UP_MILLIS = 8_000;
    private static final double WINDOW_MILLIS = 1_500;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final double NEVER_MILLIS = 99_000;
    private static final double INITIAL_CAPACITY = 0.3;
    private static final double RESPONSE_MILLIS = 30;
    private static final double TIMEOUT_MILLIS = 800;

    /** An attempt that is in flight; {@code endsAtMillis} is when it is answered or times out. */
    private record InFlight(BalancerFixture.Send send, double endsAtMillis, AttemptOutcome outcome) {}

    /** A fleet in which one host restarts, and the others stop responding or leave the list some time (ms) later. */
    private record Fleet(
            int proxies,
            int hosts,
            double requestsPerSecond,
            double warmHostsFailAfterMillis,
            double warmHostsLeaveAfterMillis) {
        double requestsPerSecondOfHost() {
            return proxies * requestsPerSecond / hosts;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "1, 6, 99000", "1, 60, 99000", "1, 600, 99000", "2, 6, 99000", "2, 60, 99000", "3, 20, 99000", "4, 15, 99000",
        "6, 3, 99000", "6, 10, 99000", "6, 100, 99000", "30, 1, 99000", "100, 1, 99000", "1, 60, 3000", "2, 60, 6000",
        "3, 20, 3000", "6, 10, 6000", "6, 100, 3000", "30, 1, 6000", "100, 1, 3000", "100, 1, 5000"
    })
    void limitHoldsForAnyNumberOfProxies(int proxies, double requestsPerSecond, double warmHostsFailAfterMillis) {
        Fleet fleet = new Fleet(proxies, 6, requestsPerSecond, warmHostsFailAfterMillis, NEVER_MILLIS);
        for (long seed = 1; seed <= 10; seed++) {
            assertWithinLimit(sendsToWarmingHost(fleet, seed), fleet, seed);
        }
    }

    /** The other hosts drain or are removed at once: the only host left is warming up and must not get all requests. */
    @ParameterizedTest
    @CsvSource({
        "1, 6, 6, 0", "1, 6, 60, 3000", "1, 6, 600, 3000", "2, 6, 60, 6000", "6, 6, 10, 0", "6, 6, 100, 3000",
        "30, 6, 1, 3000", "100, 6, 1, 0", "100, 6, 1, 3000", "100, 6, 1, 6000", "1, 60, 600, 3000", "10, 60, 60, 0",
        "30, 60, 20, 6000", "100, 60, 5, 3000", "1, 200, 600, 3000", "100, 200, 10, 100", "100, 200, 10, 6000"
    })
    void limitHoldsWhenAllWarmHostsLeaveAtOnce(
            int proxies, int hosts, double requestsPerSecond, double warmHostsLeaveAfterMillis) {
        Fleet fleet = new Fleet(proxies, hosts, requestsPerSecond, NEVER_MILLIS, warmHostsLeaveAfterMillis);
        for (long seed = 1; seed <= 10; seed++) {
            List<Double> sendTimesMillis = sendsToWarmingHost(fleet, seed).stream()
                    .filter(at -> at < RESTARTED_AT_MILLIS + WARM_UP_MILLIS) // once warm, it may get all requests
                    .toList();
            assertWithinLimit(sendTimesMillis, fleet, seed);
            assertNotStarved(sendTimesMillis, fleet, seed);
        }
    }

    /** Other hosts must not reduce the allowance if there were none, or if they were removed a minute ago. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6})
    void onlyHostLeftRampsUpToAllRequests(int hostsAtFirst) {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(hostsAtFirst));
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(1));
        fixture.nowMillis += 60_000;
        EndpointEntry restarted = BalancerFixture.host(0, Condition.READY, fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, List.of(restarted));
        int[] servedBySecond = new int[8];
        for (int id = 0; id < 50 * servedBySecond.length; id++) {
            int sendsBefore = fixture.sends.size();
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(id, SAFE, TIMEOUT_MILLIS));
            fixture.nowMillis += 20;
            if (fixture.sends.size() > sendsBefore) {
                servedBySecond[id / 50]++;
                AttemptResult answer = new AttemptResult(0, AttemptOutcome.OK, 20, true, null);
                balancer.onAttemptEnded(fixture.nowMillis, id, answer);
            }
        }
        assertThat(servedBySecond[1]).isBetween(15, 40); // of 50 requests per second
        assertThat(servedBySecond[6]).isEqualTo(50);
    }

    private static List<Double> sendsToWarmingHost(Fleet fleet, long seed) {
        List<Double> sendTimesMillis = new ArrayList<>();
        for (int proxy = 0; proxy < fleet.proxies(); proxy++) {
            run(fleet, proxy, seed, sendTimesMillis);
        }
        return sendTimesMillis.stream().sorted().toList();
    }

    private static void run(Fleet fleet, int position, long seed, List<Double> sendTimesMillis) {
        Settings one = BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings settings = new Settings(
                one.classes(), one.tenants(), one.limits(), one.rules(), false, null, position, fleet.proxies(), 1);
        BalancerFixture fixture = new BalancerFixture();
        SplittableRandom random = new SplittableRandom(seed * 1_000 + position);
        Balancer balancer = new Balancer(settings, random.nextLong(), fixture);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts(fleet, 0));
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        boolean isRestartKnown = false;
        boolean haveWarmHostsLeft = false;
        int handledSends = 0;
        for (int id = 0; fixture.nowMillis < RESTARTED_AT_MILLIS + WARM_UP_MILLIS; id++) {
            double nextRequestAtMillis =
                    fixture.nowMillis - Math.log(1 - random.nextDouble()) * 1_000 / fleet.requestsPerSecond();
            if (!isRestartKnown && nextRequestAtMillis >= RESTARTED_AT_MILLIS) {
                isRestartKnown = true;
                fixture.nowMillis = RESTARTED_AT_MILLIS;
                balancer.onWatchEvent(fixture.nowMillis, WatchEvent.DELTA, List.of(warmingHost(fleet)));
            }
            double warmHostsLeaveAtMillis = RESTARTED_AT_MILLIS + fleet.warmHostsLeaveAfterMillis();
            if (!haveWarmHostsLeft && nextRequestAtMillis >= warmHostsLeaveAtMillis) {
                haveWarmHostsLeft = true;
                endAttempts(fixture, balancer, inFlight, warmHostsLeaveAtMillis);
                fixture.nowMillis = warmHostsLeaveAtMillis;
                removeWarmHosts(fleet, balancer, fixture.nowMillis, seed % 2 == 0);
            }
            endAttempts(fixture, balancer, inFlight, nextRequestAtMillis);
            fixture.nowMillis = nextRequestAtMillis;
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(id, SAFE, TIMEOUT_MILLIS));
            for (; handledSends < fixture.sends.size(); handledSends++) {
                BalancerFixture.Send send = fixture.sends.get(handledSends);
                boolean isWarmingHost = send.host() == WARMING_HOST;
                boolean isAnswered =
                        isWarmingHost || send.atMillis() < RESTARTED_AT_MILLIS + fleet.warmHostsFailAfterMillis();
                inFlight.add(new InFlight(
                        send,
                        send.atMillis() + (isAnswered ? RESPONSE_MILLIS : TIMEOUT_MILLIS),
                        isAnswered ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT));
                if (isWarmingHost && send.atMillis() >= RESTARTED_AT_MILLIS) {
                    sendTimesMillis.add(send.atMillis());
                }
            }
        }
    }

    private static void endAttempts(
            BalancerFixture fixture, Balancer balancer, ArrayDeque<InFlight> inFlight, double untilMillis) {
        List<InFlight> due = inFlight.stream()
                .filter(attempt -> attempt.endsAtMillis() <= untilMillis)
                .sorted(Comparator.comparingDouble(InFlight::endsAtMillis))
                .toList();
        inFlight.removeAll(due);
        for (InFlight attempt : due) {
            fixture.nowMillis = attempt.endsAtMillis();
            double latencyMillis = attempt.endsAtMillis() - attempt.send().atMillis();
            balancer.onAttemptEnded(
                    fixture.nowMillis,
                    attempt.send().requestId(),
                    new AttemptResult(attempt.send().attempt(), attempt.outcome(), latencyMillis, true, null));
        }
    }

    /** Lets the warm hosts drain, or passes in a full list that contains only the warming one. */
    private static void removeWarmHosts(Fleet fleet, Balancer balancer, double nowMillis, boolean isFullList) {
        if (isFullList) {
            balancer.onWatchEvent(nowMillis, WatchEvent.FULL, List.of(warmingHost(fleet)));
            return;
        }
        List<EndpointEntry> draining = hosts(fleet, RESTARTED_AT_MILLIS).stream()
                .filter(host -> host.id() != WARMING_HOST)
                .map(host -> new EndpointEntry(host.id(), null, "k", 0, Condition.TERMINATING, 0))
                .toList();
        balancer.onWatchEvent(nowMillis, WatchEvent.DELTA, draining);
    }

    private static EndpointEntry warmingHost(Fleet fleet) {
        return hosts(fleet, RESTARTED_AT_MILLIS).get((int) WARMING_HOST);
    }

    private static List<EndpointEntry> hosts(Fleet fleet, double warmingHostStartedAtMillis) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (long id = 0; id < fleet.hosts(); id++) {
            entries.add(new EndpointEntry(
                    id, null, "k", 0, Condition.READY, id == WARMING_HOST ? warmingHostStartedAtMillis : 0));
        }
        return entries;
    }

    /** Checks each window that ends with a request; the limit follows from the capacity at the window's beginning. */
    private static void assertWithinLimit(List<Double> sendTimesMillis, Fleet fleet, long seed) {
        int from = 0;
        for (int to = 0; to < sendTimesMillis.size(); to++) {
            while (sendTimesMillis.get(to) - sendTimesMillis.get(from) > WINDOW_MILLIS) {
                from++;
            }
            double ageMillis = Math.min(WARM_UP_MILLIS, sendTimesMillis.get(from) - RESTARTED_AT_MILLIS);
            double capacity = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * ageMillis / WARM_UP_MILLIS;
            double allowed = OVERLOAD_MULTIPLE * capacity * fleet.requestsPerSecondOfHost() * WINDOW_MILLIS / 1_000;
            double tolerance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            assertThat((double) (to - from + 1))
                    .as(
                            "seed %d, requests up to %.0f ms, allowed %.1f",
                            seed, sendTimesMillis.get(to) - RESTARTED_AT_MILLIS, allowed)
                    .isLessThanOrEqualTo(allowed + tolerance);
        }
    }

    /**
     * Checks that once the other hosts have left, the host gets at least the requests that it can serve with its
     * initial capacity, less three standard deviations.
     */
    private static void assertNotStarved(List<Double> sendTimesMillis, Fleet fleet, long seed) {
        double fromMillis = RESTARTED_AT_MILLIS + fleet.warmHostsLeaveAfterMillis();
        double seconds = (RESTARTED_AT_MILLIS + WARM_UP_MILLIS - fromMillis) / 1_000;
        double minRequests = INITIAL_CAPACITY * fleet.requestsPerSecondOfHost() * seconds;
        assertThat((double)
                        sendTimesMillis.stream().filter(at -> at >= fromMillis).count())
                .as("seed %d, requests from %.0f ms on", seed, fromMillis - RESTARTED_AT_MILLIS)
                .isGreaterThanOrEqualTo(minRequests - 3 * Math.sqrt(minRequests));
    }
}
