package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Most proxies are killed within a second while discovery, one service for all, can't keep up. */
class JointRestartTest {
    private static final String SAFE = "safe";
    private static final int PROXIES = 60;
    private static final int HOSTS = 20;

    /** Discovery works through calls in turn (ms each), and fails one that would wait for longer. */
    private static final double CALL = 50;

    private static final double WAITS = 500;

    private record Event(double at, int proxy, Runnable what) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));
    private final BalancerFixture[] fixtures = new BalancerFixture[PROXIES];
    private final Balancer[] proxies = new Balancer[PROXIES];
    private final double[] listReceivedAt = new double[PROXIES];
    private final List<Double> calls = new ArrayList<>();
    private double freeAt;

    private static Settings settings() {
        return BalancerFixture.settings(
                true, 4, true, BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
    }

    /** A call comes: it is answered in its turn, or fails at once. */
    private void call(int proxy, double now) {
        calls.add(now);
        if (freeAt - now > WAITS) {
            events.add(new Event(now, proxy, () -> proxies[proxy].onWatchEvent(now, WatchEvent.FAILED, null)));
            return;
        }
        freeAt = Math.max(freeAt, now) + CALL;
        double at = freeAt;
        events.add(new Event(at, proxy, () -> {
            proxies[proxy].onWatchEvent(at, WatchEvent.FULL, BalancerFixture.hosts(HOSTS));
            listReceivedAt[proxy] = at;
        }));
    }

    /** What the proxy asked for in its last event. */
    private void carryOut(int proxy, int followed, double now) {
        for (int i = followed; i < fixtures[proxy].subscriptions; i++) {
            call(proxy, now);
        }
        Map.Entry<Double, List<Long>> due;
        while ((due = fixtures[proxy].timers.pollFirstEntry()) != null) {
            double at = due.getKey();
            for (long token : due.getValue()) {
                events.add(new Event(at, proxy, () -> proxies[proxy].onTimer(at, token)));
            }
        }
    }

    private void handle(int proxy, double now, Runnable what) {
        int followed = fixtures[proxy].subscriptions;
        fixtures[proxy].now = now;
        what.run();
        carryOut(proxy, followed, now);
    }

    @Test
    void jointRestartServesFromCacheAndResubscribesWithoutStorm() {
        SplittableRandom random = new SplittableRandom(5);
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            int proxy = proxyIndex;
            double at = 1_000 + 1_000 * random.nextDouble();
            events.add(new Event(at, proxyIndex, () -> {
                fixtures[proxy].now = at;
                proxies[proxy] = new Balancer(settings(), 100 + proxy, fixtures[proxy]);
                proxies[proxy].onStart(at);
                proxies[proxy].onWatchEvent(at, WatchEvent.CACHED, BalancerFixture.hosts(HOSTS));
                proxies[proxy].onRequest(at, BalancerFixture.request(1, SAFE, 800));
                proxies[proxy].onAttemptEnded(at, 1, new AttemptResult(0, AttemptOutcome.OK, 1, true, null));
            }));
            fixtures[proxyIndex] = new BalancerFixture();
        }
        Event event;
        while ((event = events.poll()) != null) {
            Event now = event;
            handle(now.proxy(), now.at(), now.what());
        }
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            assertThat(fixtures[proxyIndex].sends)
                    .as("proxy %d served at once", proxyIndex)
                    .hasSize(1);
            assertThat(listReceivedAt[proxyIndex])
                    .as("proxy %d told", proxyIndex)
                    .isBetween(1_000.0, 2_000.0 + 10_000);
        }
        // Each that fails asks again, later each time: little more than one call in service or in the queue.
        assertThat(calls.size()).isBetween(PROXIES, 3 * PROXIES);
        assertThat(mostWithin(1_000, calls)).isLessThanOrEqualTo(PROXIES + PROXIES / 2);
    }

    private static int mostWithin(double ms, List<Double> calls) {
        calls.sort(null);
        int most = 0;
        for (int first = 0, last = 0; last < calls.size(); last++) {
            while (calls.get(last) - calls.get(first) >= ms) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
