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
 * The budget of a host in slow start, counted over all proxies: in each window N requests plus 2 sqrt(N) + 2, where N is
 * what the settings allow the host then, and 3 sqrt(N) + 3 for N under 30.
 */
class SlowStartBudgetTest {
    private static final String SAFE = "safe";
    private static final long WARMING_HOST = 3;
    private static final double RESTART = 20_000;
    private static final double WARM_UP = 8_000;
    private static final double WINDOW = 1_500;
    private static final double MULTIPLE = 3;
    private static final double NEVER = 99_000;
    private static final double INITIAL_CAPACITY = 0.3;
    private static final double RESPONSE_MILLIS = 30;
    private static final double TIMEOUT_MILLIS = 800;

    /** An attempt that is in flight; {@code endsAt} is when it is answered or times out. */
    private record InFlight(BalancerFixture.Send send, double endsAt, AttemptOutcome outcome) {}

    /** A fleet of which one host restarts, and the others answer nothing, or leave the list, some ms after that. */
    private record Fleet(
            int proxies, int hosts, double requestsPerSecond, double warmHostsFailAfter, double warmHostsLeaveAfter) {
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
    void budgetHoldsHoweverManyProxiesRun(int proxies, double requestsPerSecond, double warmHostsFailAfter) {
        Fleet fleet = new Fleet(proxies, 6, requestsPerSecond, warmHostsFailAfter, NEVER);
        for (long seed = 1; seed <= 10; seed++) {
            checkBudget(sendsToWarmingHost(fleet, seed), fleet, seed);
        }
    }

    /** Once the other hosts have drained or are removed, all that is left is the warming one, which gets its part only. */
    @ParameterizedTest
    @CsvSource({
        "1, 6, 6, 0", "1, 6, 60, 3000", "1, 6, 600, 3000", "2, 6, 60, 6000", "6, 6, 10, 0", "6, 6, 100, 3000",
        "30, 6, 1, 3000", "100, 6, 1, 0", "100, 6, 1, 3000", "100, 6, 1, 6000", "1, 60, 600, 3000", "10, 60, 60, 0",
        "30, 60, 20, 6000", "100, 60, 5, 3000", "1, 200, 600, 3000", "100, 200, 10, 100", "100, 200, 10, 6000"
    })
    void budgetHoldsWhereAllWarmHostsLeaveAtOnce(
            int proxies, int hosts, double requestsPerSecond, double warmHostsLeaveAfter) {
        Fleet fleet = new Fleet(proxies, hosts, requestsPerSecond, NEVER, warmHostsLeaveAfter);
        for (long seed = 1; seed <= 10; seed++) {
            List<Double> sends = sendsToWarmingHost(fleet, seed).stream()
                    .filter(at -> at < RESTART + WARM_UP) // from then on it is warm, and bears all that there is
                    .toList();
            checkBudget(sends, fleet, seed);
            assertNotStarved(sends, fleet, seed);
        }
    }

    /** Nothing is remembered of other hosts where there were none, or where they left a minute ago. */
    @ParameterizedTest
    @ValueSource(ints = {1, 6})
    void onlyHostLeftRampsUpToAllRequests(int hostsAtFirst) {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(hostsAtFirst));
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(1));
        fixture.now += 60_000;
        EndpointEntry restarted = BalancerFixture.host(0, Condition.READY, fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, List.of(restarted));
        int[] servedBySecond = new int[8];
        for (int id = 0; id < 50 * servedBySecond.length; id++) {
            int sendsBefore = fixture.sends.size();
            balancer.onRequest(fixture.now, BalancerFixture.request(id, SAFE, TIMEOUT_MILLIS));
            fixture.now += 20;
            if (fixture.sends.size() > sendsBefore) {
                servedBySecond[id / 50]++;
                AttemptResult answer = new AttemptResult(0, AttemptOutcome.OK, 20, true, null);
                balancer.onAttemptEnded(fixture.now, id, answer);
            }
        }
        assertThat(servedBySecond[1]).isBetween(15, 40); // of 50 a second
        assertThat(servedBySecond[6]).isEqualTo(50);
    }

    private static List<Double> sendsToWarmingHost(Fleet fleet, long seed) {
        List<Double> sends = new ArrayList<>();
        for (int proxy = 0; proxy < fleet.proxies(); proxy++) {
            run(fleet, proxy, seed, sends);
        }
        return sends.stream().sorted().toList();
    }

    private static void run(Fleet fleet, int position, long seed, List<Double> sends) {
        Settings one = BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings settings = new Settings(
                one.classes(), one.tenants(), one.limits(), one.rules(), false, null, position, fleet.proxies(), 1);
        BalancerFixture fixture = new BalancerFixture();
        SplittableRandom random = new SplittableRandom(seed * 1_000 + position);
        Balancer balancer = new Balancer(settings, random.nextLong(), fixture);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts(fleet, 0));
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        boolean isRestartKnown = false;
        boolean haveWarmHostsLeft = false;
        int handled = 0;
        for (int id = 0; fixture.now < RESTART + WARM_UP; id++) {
            double next = fixture.now - Math.log(1 - random.nextDouble()) * 1_000 / fleet.requestsPerSecond();
            if (!isRestartKnown && next >= RESTART) {
                isRestartKnown = true;
                fixture.now = RESTART;
                balancer.onWatchEvent(fixture.now, WatchEvent.DELTA, List.of(warmingHost(fleet)));
            }
            double warmHostsLeaveAt = RESTART + fleet.warmHostsLeaveAfter();
            if (!haveWarmHostsLeft && next >= warmHostsLeaveAt) {
                haveWarmHostsLeft = true;
                endAttempts(fixture, balancer, inFlight, warmHostsLeaveAt);
                fixture.now = warmHostsLeaveAt;
                removeWarmHosts(fleet, balancer, fixture.now, seed % 2 == 0);
            }
            endAttempts(fixture, balancer, inFlight, next);
            fixture.now = next;
            balancer.onRequest(fixture.now, BalancerFixture.request(id, SAFE, TIMEOUT_MILLIS));
            for (; handled < fixture.sends.size(); handled++) {
                BalancerFixture.Send send = fixture.sends.get(handled);
                boolean isCold = send.host() == WARMING_HOST;
                boolean answers = isCold || send.at() < RESTART + fleet.warmHostsFailAfter();
                inFlight.add(new InFlight(
                        send,
                        send.at() + (answers ? RESPONSE_MILLIS : TIMEOUT_MILLIS),
                        answers ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT));
                if (isCold && send.at() >= RESTART) {
                    sends.add(send.at());
                }
            }
        }
    }

    private static void endAttempts(
            BalancerFixture fixture, Balancer balancer, ArrayDeque<InFlight> inFlight, double until) {
        List<InFlight> due = inFlight.stream()
                .filter(attempt -> attempt.endsAt() <= until)
                .sorted(Comparator.comparingDouble(InFlight::endsAt))
                .toList();
        inFlight.removeAll(due);
        for (InFlight attempt : due) {
            fixture.now = attempt.endsAt();
            double spent = attempt.endsAt() - attempt.send().at();
            balancer.onAttemptEnded(
                    fixture.now,
                    attempt.send().request(),
                    new AttemptResult(attempt.send().number(), attempt.outcome(), spent, true, null));
        }
    }

    /** The warm hosts drain, or a full list names the warming one alone. */
    private static void removeWarmHosts(Fleet fleet, Balancer balancer, double now, boolean isFullList) {
        if (isFullList) {
            balancer.onWatchEvent(now, WatchEvent.FULL, List.of(warmingHost(fleet)));
            return;
        }
        List<EndpointEntry> draining = hosts(fleet, RESTART).stream()
                .filter(host -> host.id() != WARMING_HOST)
                .map(host -> new EndpointEntry(host.id(), null, "k", 0, Condition.TERMINATING, 0))
                .toList();
        balancer.onWatchEvent(now, WatchEvent.DELTA, draining);
    }

    private static EndpointEntry warmingHost(Fleet fleet) {
        return hosts(fleet, RESTART).get((int) WARMING_HOST);
    }

    private static List<EndpointEntry> hosts(Fleet fleet, double warmingHostSince) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (long id = 0; id < fleet.hosts(); id++) {
            entries.add(
                    new EndpointEntry(id, null, "k", 0, Condition.READY, id == WARMING_HOST ? warmingHostSince : 0));
        }
        return entries;
    }

    /** Checks each window that ends with a request; a window counts with the capacity at its begin. */
    private static void checkBudget(List<Double> sends, Fleet fleet, long seed) {
        int from = 0;
        for (int to = 0; to < sends.size(); to++) {
            while (sends.get(to) - sends.get(from) > WINDOW) {
                from++;
            }
            double age = Math.min(WARM_UP, sends.get(from) - RESTART);
            double capacity = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_UP;
            double allowed = MULTIPLE * capacity * fleet.requestsPerSecondOfHost() * WINDOW / 1_000;
            double chance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            assertThat((double) (to - from + 1))
                    .as("seed %d, requests up to %.0f ms, allowed %.1f", seed, sends.get(to) - RESTART, allowed)
                    .isLessThanOrEqualTo(allowed + chance);
        }
    }

    /** The host gets at least what it can do with the least capacity, once the others have left, less three deviations. */
    private static void assertNotStarved(List<Double> sends, Fleet fleet, long seed) {
        double from = RESTART + fleet.warmHostsLeaveAfter();
        double seconds = (RESTART + WARM_UP - from) / 1_000;
        double least = INITIAL_CAPACITY * fleet.requestsPerSecondOfHost() * seconds;
        assertThat((double) sends.stream().filter(at -> at >= from).count())
                .as("seed %d, requests from %.0f ms on", seed, from - RESTART)
                .isGreaterThanOrEqualTo(least - 3 * Math.sqrt(least));
    }
}
