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

/**
 * Guards against a storm of subscriptions: 60 proxies restart within a second and subscribe to one discovery service,
 * which can't serve that many at once and fails calls. The proxies must serve from their cached endpoint list
 * meanwhile.
 */
class JointRestartTest {
    private static final String SAFE = "safe";
    private static final int PROXIES = 60;
    private static final int HOSTS = 20;

    /** Time that discovery takes for a call; it serves one at a time. */
    private static final double CALL_MILLIS = 50;

    /** Discovery fails a call that would wait for longer than this. */
    private static final double MAX_WAIT_MILLIS = 500;

    private record Event(double atMillis, int proxy, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
    private final BalancerFixture[] fixtures = new BalancerFixture[PROXIES];
    private final Balancer[] proxies = new Balancer[PROXIES];
    private final double[] listReceivedAtMillis = new double[PROXIES];
    private final List<Double> callTimesMillis = new ArrayList<>();
    private double discoveryFreeAtMillis;

    private static Settings settings() {
        return BalancerFixture.settings(
                true, 4, true, BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
    }

    /** Handles a call to discovery: it is answered after those before it, or fails at once. */
    private void call(int proxy, double nowMillis) {
        callTimesMillis.add(nowMillis);
        if (discoveryFreeAtMillis - nowMillis > MAX_WAIT_MILLIS) {
            events.add(
                    new Event(nowMillis, proxy, () -> proxies[proxy].onWatchEvent(nowMillis, WatchEvent.FAILED, null)));
            return;
        }
        discoveryFreeAtMillis = Math.max(discoveryFreeAtMillis, nowMillis) + CALL_MILLIS;
        double atMillis = discoveryFreeAtMillis;
        events.add(new Event(atMillis, proxy, () -> {
            proxies[proxy].onWatchEvent(atMillis, WatchEvent.FULL, BalancerFixture.hosts(HOSTS));
            listReceivedAtMillis[proxy] = atMillis;
        }));
    }

    /** Performs the subscriptions and timers that the proxy requested during its last event. */
    private void performActions(int proxy, int subscriptionsBefore, double nowMillis) {
        for (int i = subscriptionsBefore; i < fixtures[proxy].subscriptions; i++) {
            call(proxy, nowMillis);
        }
        Map.Entry<Double, List<Long>> due;
        while ((due = fixtures[proxy].timers.pollFirstEntry()) != null) {
            double atMillis = due.getKey();
            for (long token : due.getValue()) {
                events.add(new Event(atMillis, proxy, () -> proxies[proxy].onTimer(atMillis, token)));
            }
        }
    }

    private void handle(int proxy, double nowMillis, Runnable action) {
        int subscriptionsBefore = fixtures[proxy].subscriptions;
        fixtures[proxy].nowMillis = nowMillis;
        action.run();
        performActions(proxy, subscriptionsBefore, nowMillis);
    }

    @Test
    void jointRestartServesFromCacheAndResubscribesWithoutStorm() {
        SplittableRandom random = new SplittableRandom(5);
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            int proxy = proxyIndex;
            double atMillis = 1_000 + 1_000 * random.nextDouble();
            events.add(new Event(atMillis, proxyIndex, () -> {
                fixtures[proxy].nowMillis = atMillis;
                proxies[proxy] = new Balancer(settings(), 100 + proxy, fixtures[proxy]);
                proxies[proxy].onStart(atMillis);
                proxies[proxy].onWatchEvent(atMillis, WatchEvent.CACHED, BalancerFixture.hosts(HOSTS));
                proxies[proxy].onRequest(atMillis, BalancerFixture.request(1, SAFE, 800));
                proxies[proxy].onAttemptEnded(atMillis, 1, new AttemptResult(0, AttemptOutcome.OK, 1, true, null));
            }));
            fixtures[proxyIndex] = new BalancerFixture();
        }
        Event event;
        while ((event = events.poll()) != null) {
            Event current = event;
            handle(current.proxy(), current.atMillis(), current.action());
        }
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            assertThat(fixtures[proxyIndex].sends)
                    .as("requests sent by proxy %d at its start", proxyIndex)
                    .hasSize(1);
            assertThat(listReceivedAtMillis[proxyIndex])
                    .as("time at which proxy %d received the endpoint list", proxyIndex)
                    .isBetween(1_000.0, 2_000.0 + 10_000);
        }
        // A failed call is repeated after a growing backoff, so each proxy makes only a few calls.
        assertThat(callTimesMillis.size()).isBetween(PROXIES, 3 * PROXIES);
        assertThat(maxCallsWithin(1_000, callTimesMillis)).isLessThanOrEqualTo(PROXIES + PROXIES / 2);
    }

    private static int maxCallsWithin(double windowMillis, List<Double> callTimesMillis) {
        callTimesMillis.sort(null);
        int maxCalls = 0;
        for (int first = 0, last = 0; last < callTimesMillis.size(); last++) {
            while (callTimesMillis.get(last) - callTimesMillis.get(first) >= windowMillis) {
                first++;
            }
            maxCalls = Math.max(maxCalls, last - first + 1);
        }
        return maxCalls;
    }
}
