package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Guards against decisions that are right for one proxy, but add up to too many connections or requests over many. The
 * proxies share no state, so each is simulated on its own and the results are summed.
 */
class ManyProxiesTest {
    private static final String SAFE = "safe";
    private static final int PROXIES = 14;
    private static final int HOSTS = 20;

    /** The host that restarts, at {@link #RESTARTED_AT_MILLIS}. */
    private static final long WARMING_HOST = 3;

    private static final double RESTARTED_AT_MILLIS = 20_000;

    private static Settings settingsOf(int position, String zone) {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        return new Settings(
                settings.classes(),
                settings.tenants(),
                settings.limits(),
                settings.rules(),
                false,
                zone,
                position,
                PROXIES,
                1);
    }

    private static Balancer start(BalancerFixture fixture, int position, String zone, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settingsOf(position, zone), 100 + position, fixture);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts);
        return balancer;
    }

    /** Fourteen proxies with ten requests in flight each must not all connect to all of sixty hosts. */
    @Test
    void proxyOfManyUsesSubsetOfLargeFleet() {
        int connectedPairs = 0;
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            Balancer balancer = start(fixture, proxy, null, BalancerFixture.hosts(60));
            for (int i = 0; i < 1_000; i++) {
                balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
                fixture.nowMillis += 10;
                if (i >= 10) {
                    balancer.onAttemptEnded(
                            fixture.nowMillis,
                            fixture.sends.get(i - 10).requestId(),
                            new AttemptResult(0, AttemptOutcome.OK, 100, true, null));
                }
            }
            connectedPairs += (int) fixture.sends.stream()
                    .map(BalancerFixture.Send::host)
                    .distinct()
                    .count();
        }
        assertThat(connectedPairs).isBetween(PROXIES * 10, PROXIES * 20); // of 14 * 60 pairs
    }

    /**
     * One proxy of a hundred has sixty requests in flight. Spread over more hosts, they take no more connections than
     * on the few hosts of its usual subset, which they would overload.
     */
    @Test
    void busyProxyUsesOneHostPerRequestInFlight() {
        Settings settings = settingsOf(3, null);
        Settings many = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, null, 30, 100, 1);
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = new Balancer(many, 7, fixture);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(40));
        for (int i = 0; i < 2_000; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            fixture.nowMillis += 2.5;
            if (i >= 60) {
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        fixture.sends.get(i - 60).requestId(),
                        new AttemptResult(0, AttemptOutcome.OK, 150, true, null));
            }
        }
        long used = fixture.sends.stream()
                .skip(1_000)
                .map(BalancerFixture.Send::host)
                .distinct()
                .count();
        assertThat(used).isEqualTo(40); // a limit of 60 proxies per host alone would allow 24
    }

    /**
     * One of five hosts is idle. A proxy with few requests has equal counts for all hosts, so the load reports must
     * decide most selections.
     */
    @Test
    void lightProxyFindsIdleHost() {
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = start(fixture, 3, null, BalancerFixture.hosts(5));
        int idle = 0;
        for (int i = 0; i < 1_000; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            long host = fixture.lastSend().host();
            idle += host == 2 ? 1 : 0;
            fixture.nowMillis += 10;
            balancer.onAttemptEnded(
                    fixture.nowMillis,
                    i,
                    new AttemptResult(0, AttemptOutcome.OK, 100, true, BalancerFixture.reportOf(host == 2 ? 0 : 3)));
        }
        assertThat(idle).isGreaterThan(700);
    }

    /**
     * The host that is warming up reports no requests and so is preferred by every proxy. Only its slow-start allowance
     * keeps the sum over all proxies below the overload multiple (rule 4 of {@link RandomWorld}).
     */
    @Test
    void allProxiesTogetherKeepSlowStartLimit() {
        double[] sendsPerSlot = sendsToWarmingHost(50, 50, false, false);
        assertWithinSlowStartLimit(sendsPerSlot, 50);
        assertThat(Arrays.stream(sendsPerSlot).sum()).isGreaterThan(20); // it gets a share of the requests
    }

    /**
     * The warm hosts become unresponsive when the warming one starts, so that no proxy has a usable warm host in its
     * subset. Proxies whose subset doesn't contain the warming host must not send to it on top of the others.
     */
    @Test
    void unresponsiveWarmHostsKeepSlowStartLimit() {
        assertWithinSlowStartLimit(sendsToWarmingHost(10, 10, true, false), 10);
    }

    /** Latency is so high that proxies use both zones: the requests of the other zone's proxies count as well. */
    @Test
    void spilloverFromOtherZoneKeepsSlowStartLimit() {
        double[] sendsPerSlot = sendsToWarmingHost(10, 160, false, true);
        assertWithinSlowStartLimit(sendsPerSlot, 10);
        assertThat(Arrays.stream(sendsPerSlot).sum()).isGreaterThan(20);
    }

    /**
     * Returns the number of sends to the warming host in each slot of 100 ms from its start on, summed over all
     * proxies. Every second proxy starts at the same time as the host; the others get a delta with the restart while
     * they run. Each proxy gets a request every {@code intervalMillis}, responses take {@code latencyMillis}, and warm
     * hosts report three requests. If {@code warmHostsUnresponsive}, the warm hosts stop responding when the host
     * starts. If {@code twoZones}, each of two zones has half of the hosts and of the proxies.
     */
    private static double[] sendsToWarmingHost(
            double intervalMillis, double latencyMillis, boolean warmHostsUnresponsive, boolean twoZones) {
        double[] sendsPerSlot = new double[100];
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            boolean restartKnown = proxy % 2 == 0; // this proxy starts at the restart and has it in its first list
            fixture.nowMillis = restartKnown ? RESTARTED_AT_MILLIS : 1_000;
            List<EndpointEntry> hosts = new ArrayList<>();
            for (long host = 0; host < HOSTS; host++) {
                hosts.add(entry(host, restartKnown && host == WARMING_HOST ? RESTARTED_AT_MILLIS : 0));
            }
            Balancer balancer = start(fixture, proxy, twoZones ? zone(proxy / 2) : null, hosts);
            ArrayDeque<BalancerFixture.Send> unanswered = new ArrayDeque<>();
            for (int i = 0; fixture.nowMillis < RESTARTED_AT_MILLIS + 10_000; i++) {
                if (!restartKnown && fixture.nowMillis >= RESTARTED_AT_MILLIS) {
                    restartKnown = true;
                    balancer.onWatchEvent(
                            fixture.nowMillis, WatchEvent.DELTA, List.of(entry(WARMING_HOST, RESTARTED_AT_MILLIS)));
                }
                while (!unanswered.isEmpty() && unanswered.peek().atMillis() + 800 <= fixture.nowMillis) {
                    BalancerFixture.Send send = unanswered.poll();
                    balancer.onAttemptEnded(
                            fixture.nowMillis,
                            send.requestId(),
                            new AttemptResult(send.attempt(), AttemptOutcome.TIMEOUT, 800, true, null));
                }
                int sendsBefore = fixture.sends.size();
                balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
                double sentAtMillis = fixture.nowMillis;
                fixture.nowMillis += intervalMillis;
                if (fixture.sends.size() == sendsBefore) {
                    continue; // rejected
                }
                boolean toWarmingHost = fixture.lastSend().host() == WARMING_HOST;
                if (restartKnown && toWarmingHost) {
                    sendsPerSlot[(int) ((sentAtMillis - RESTARTED_AT_MILLIS) / 100)]++;
                }
                if (restartKnown && warmHostsUnresponsive && !toWarmingHost) {
                    unanswered.add(fixture.lastSend());
                } else {
                    balancer.onAttemptEnded(
                            fixture.nowMillis,
                            i,
                            new AttemptResult(
                                    0,
                                    AttemptOutcome.OK,
                                    latencyMillis,
                                    true,
                                    BalancerFixture.reportOf(restartKnown && toWarmingHost ? 0 : 3)));
                }
            }
        }
        return sendsPerSlot;
    }

    private static String zone(long index) {
        return index % 2 == 0 ? "a" : "b";
    }

    private static EndpointEntry entry(long id, double startedAtMillis) {
        return new EndpointEntry(id, zone(id), "k", id / 4, Condition.READY, startedAtMillis);
    }

    /**
     * Checks that the sends in each window of 1.5 s are below half of three times the host's minimum capacity, with a
     * tolerance of a fifth and five requests for chance.
     */
    private static void assertWithinSlowStartLimit(double[] sendsPerSlot, double intervalMillis) {
        double warmRequestsPerSecond = PROXIES * 1_000 / intervalMillis / HOSTS; // what a warm host is able to serve
        for (int firstSlot = 0; firstSlot + 15 <= 80; firstSlot++) {
            double sentInWindow =
                    Arrays.stream(sendsPerSlot, firstSlot, firstSlot + 15).sum();
            double capacity = 0.3 + 0.7 * (firstSlot * 100 + 750) / 8_000; // in the middle of the window
            assertThat(sentInWindow)
                    .as("from %d ms", firstSlot * 100)
                    .isLessThan(1.2 * 0.5 * 3 * capacity * warmRequestsPerSecond * 1.5 + 5);
        }
    }
}
