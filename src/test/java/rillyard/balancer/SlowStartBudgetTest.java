package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * The budget of a host in slow start, counted over all proxies: in each window N requests plus 2 sqrt(N) + 2, where N is
 * what the settings allow the host then, and 3 sqrt(N) + 3 for N under 30.
 */
class SlowStartBudgetTest {
    private static final String SAFE = "safe";
    private static final int HOSTS = 6;
    private static final long WARMING_HOST = 3;
    private static final double RESTART = 20_000;
    private static final double WARM_UP = 8_000;
    private static final double WINDOW = 1_500;
    private static final double MULTIPLE = 3;
    private static final double INITIAL_CAPACITY = 0.3;
    private static final double RESPONSE_MILLIS = 30;
    private static final double TIMEOUT_MILLIS = 800;

    /** An attempt that is in flight; {@code endsAt} is when it is answered or times out. */
    private record InFlight(BalancerFixture.Send send, double endsAt, AttemptOutcome outcome) {}

    @ParameterizedTest
    @CsvSource({
        "1, 6, 99000", "1, 60, 99000", "1, 600, 99000", "2, 6, 99000", "2, 60, 99000", "3, 20, 99000", "4, 15, 99000",
        "6, 3, 99000", "6, 10, 99000", "6, 100, 99000", "30, 1, 99000", "100, 1, 99000", "1, 60, 3000", "2, 60, 6000",
        "3, 20, 3000", "6, 10, 6000", "6, 100, 3000", "30, 1, 6000", "100, 1, 3000", "100, 1, 5000"
    })
    void budgetHoldsHoweverManyProxiesRun(int proxies, double requestsPerSecond, double warmHostsFailAfter) {
        for (long seed = 1; seed <= 10; seed++) {
            List<Double> sends = new ArrayList<>();
            for (int proxy = 0; proxy < proxies; proxy++) {
                run(proxies, proxy, seed, requestsPerSecond, RESTART + warmHostsFailAfter, sends);
            }
            checkBudget(sends.stream().sorted().toList(), proxies * requestsPerSecond / HOSTS, seed);
        }
    }

    private static void run(
            int proxies,
            int position,
            long seed,
            double requestsPerSecond,
            double warmHostsFailAt,
            List<Double> sends) {
        Settings one = BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings settings = new Settings(
                one.classes(), one.tenants(), one.limits(), one.rules(), false, null, position, proxies, 1);
        BalancerFixture fixture = new BalancerFixture();
        SplittableRandom random = new SplittableRandom(seed * 1_000 + position);
        Balancer balancer = new Balancer(settings, random.nextLong(), fixture);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts(0));
        ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
        boolean isRestartKnown = false;
        int handled = 0;
        for (int id = 0; fixture.now < RESTART + WARM_UP; id++) {
            double next = fixture.now - Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
            if (!isRestartKnown && next >= RESTART) {
                isRestartKnown = true;
                fixture.now = RESTART;
                balancer.onWatchEvent(
                        fixture.now, WatchEvent.DELTA, List.of(hosts(RESTART).get((int) WARMING_HOST)));
            }
            endAttempts(fixture, balancer, inFlight, next);
            fixture.now = next;
            balancer.onRequest(fixture.now, BalancerFixture.request(id, SAFE, TIMEOUT_MILLIS));
            for (; handled < fixture.sends.size(); handled++) {
                BalancerFixture.Send send = fixture.sends.get(handled);
                boolean isCold = send.host() == WARMING_HOST;
                boolean answers = isCold || send.at() < warmHostsFailAt;
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

    private static List<EndpointEntry> hosts(double warmingHostSince) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (long id = 0; id < HOSTS; id++) {
            entries.add(
                    new EndpointEntry(id, null, "k", 0, Condition.READY, id == WARMING_HOST ? warmingHostSince : 0));
        }
        return entries;
    }

    /** Checks each window that ends with a request; a window counts with the capacity at its begin. */
    private static void checkBudget(List<Double> sends, double requestsPerSecondOfHost, long seed) {
        int from = 0;
        for (int to = 0; to < sends.size(); to++) {
            while (sends.get(to) - sends.get(from) > WINDOW) {
                from++;
            }
            double age = Math.min(WARM_UP, sends.get(from) - RESTART);
            double capacity = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * age / WARM_UP;
            double allowed = MULTIPLE * capacity * requestsPerSecondOfHost * WINDOW / 1_000;
            double chance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
            assertThat((double) (to - from + 1))
                    .as("seed %d, requests up to %.0f ms, allowed %.1f", seed, sends.get(to) - RESTART, allowed)
                    .isLessThanOrEqualTo(allowed + chance);
        }
    }
}
