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

/** The sum over many proxies that share no state: each is simulated on its own. */
class ManyProxiesTest {
    private static final String SAFE = "safe";
    private static final int PROXIES = 14;
    private static final int HOSTS = 20;

    /** The host that restarts, and when (ms). */
    private static final long WARMING_HOST = 3;

    private static final double RESTART = 20_000;

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
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    /** Fourteen proxies with ten requests in flight each are not all connected to all of sixty hosts. */
    @Test
    void proxyOfManyUsesSubsetOfLargeFleet() {
        int pairs = 0;
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            Balancer balancer = start(fixture, proxy, null, BalancerFixture.hosts(60));
            for (int i = 0; i < 1_000; i++) {
                balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
                fixture.now += 10;
                if (i >= 10) {
                    balancer.onAttemptEnded(
                            fixture.now,
                            fixture.sends.get(i - 10).request(),
                            new AttemptResult(0, AttemptOutcome.OK, 100, true, null));
                }
            }
            pairs += (int) fixture.sends.stream()
                    .map(BalancerFixture.Send::host)
                    .distinct()
                    .count();
        }
        assertThat(pairs).isBetween(PROXIES * 10, PROXIES * 20); // of 14 * 60
    }

    /**
     * One proxy of a hundred has sixty requests in flight: spread over sixty hosts they take no more connections than over
     * the few hosts of its usual subset, and overload none.
     */
    @Test
    void busyProxyUsesOneHostPerRequestInFlight() {
        Settings settings = settingsOf(3, null);
        Settings many = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, null, 30, 100, 1);
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = new Balancer(many, 7, fixture);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(40));
        for (int i = 0; i < 2_000; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            fixture.now += 2.5;
            if (i >= 60) {
                balancer.onAttemptEnded(
                        fixture.now,
                        fixture.sends.get(i - 60).request(),
                        new AttemptResult(0, AttemptOutcome.OK, 150, true, null));
            }
        }
        long used = fixture.sends.stream()
                .skip(1_000)
                .map(BalancerFixture.Send::host)
                .distinct()
                .count();
        assertThat(used).isEqualTo(40); // 24 at sixty proxies a host
    }

    /** Five hosts of which one is idle: where own counts tie, its report decides most selections. */
    @Test
    void lightProxyFindsIdleHost() {
        BalancerFixture fixture = new BalancerFixture();
        Balancer balancer = start(fixture, 3, null, BalancerFixture.hosts(5));
        int idle = 0;
        for (int i = 0; i < 1_000; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            long host = fixture.lastSend().host();
            idle += host == 2 ? 1 : 0;
            fixture.now += 10;
            balancer.onAttemptEnded(
                    fixture.now,
                    i,
                    new AttemptResult(0, AttemptOutcome.OK, 100, true, BalancerFixture.reportOf(host == 2 ? 0 : 3)));
        }
        assertThat(idle).isGreaterThan(700);
    }

    /** Rule 4 over the sum of all proxies: the warming host looks idle, so only its allowance holds them back. */
    @Test
    void allProxiesTogetherKeepSlowStartLimit() {
        double[] sent = sendsToWarmingHost(50, 50, false, false);
        assertWithinBudget(sent, 50);
        assertThat(Arrays.stream(sent).sum()).isGreaterThan(20); // it is not starved
    }

    /**
     * The warm hosts become unresponsive as the warming one starts, so that no proxy finds a host in its subset: those whose
     * subset does not contain the warming host must not add their part to that of the others.
     */
    @Test
    void unresponsiveWarmHostsKeepSlowStartLimit() {
        assertWithinBudget(sendsToWarmingHost(10, 10, true, false), 10);
    }

    /** Latency is so high that proxies use both zones: the parts of the other zone's proxies add up as well. */
    @Test
    void spilloverFromOtherZoneKeepsSlowStartLimit() {
        double[] sent = sendsToWarmingHost(10, 160, false, true);
        assertWithinBudget(sent, 10);
        assertThat(Arrays.stream(sent).sum()).isGreaterThan(20);
    }

    /**
     * Returns the sends to the warming host in slots of 100 ms from its start on, summed over proxies of which every second
     * one has just started itself, while the others learn of the restart in operation. Each proxy gets a request every
     * {@code gap} ms; answers take {@code spent} ms, and warm hosts report three requests. If {@code unresponsive}, the warm
     * hosts stop answering as it starts. With {@code zones}, half of the hosts and proxies are in each of two.
     */
    private static double[] sendsToWarmingHost(double gap, double spent, boolean unresponsive, boolean zones) {
        double[] sent = new double[100];
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            boolean restartKnown = proxy % 2 == 0; // it starts itself then and knows of the restart from the list only
            fixture.now = restartKnown ? RESTART : 1_000;
            List<EndpointEntry> hosts = new ArrayList<>();
            for (long host = 0; host < HOSTS; host++) {
                hosts.add(entry(host, restartKnown && host == WARMING_HOST ? RESTART : 0));
            }
            Balancer balancer = start(fixture, proxy, zones ? zone(proxy / 2) : null, hosts);
            ArrayDeque<BalancerFixture.Send> out = new ArrayDeque<>();
            for (int i = 0; fixture.now < RESTART + 10_000; i++) {
                if (!restartKnown && fixture.now >= RESTART) {
                    restartKnown = true;
                    balancer.onWatchEvent(fixture.now, WatchEvent.DELTA, List.of(entry(WARMING_HOST, RESTART)));
                }
                while (!out.isEmpty() && out.peek().at() + 800 <= fixture.now) {
                    BalancerFixture.Send send = out.poll();
                    balancer.onAttemptEnded(
                            fixture.now,
                            send.request(),
                            new AttemptResult(send.number(), AttemptOutcome.TIMEOUT, 800, true, null));
                }
                int before = fixture.sends.size();
                balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
                double at = fixture.now;
                fixture.now += gap;
                if (fixture.sends.size() == before) {
                    continue; // rejected
                }
                boolean toWarmingHost = fixture.lastSend().host() == WARMING_HOST;
                if (restartKnown && toWarmingHost) {
                    sent[(int) ((at - RESTART) / 100)]++;
                }
                if (restartKnown && unresponsive && !toWarmingHost) {
                    out.add(fixture.lastSend());
                } else {
                    balancer.onAttemptEnded(
                            fixture.now,
                            i,
                            new AttemptResult(
                                    0,
                                    AttemptOutcome.OK,
                                    spent,
                                    true,
                                    BalancerFixture.reportOf(restartKnown && toWarmingHost ? 0 : 3)));
                }
            }
        }
        return sent;
    }

    private static String zone(long number) {
        return number % 2 == 0 ? "a" : "b";
    }

    private static EndpointEntry entry(long id, double since) {
        return new EndpointEntry(id, zone(id), "k", id / 4, Condition.READY, since);
    }

    /** Half of three times the least capacity, over each 1.5 s, with a fifth and five requests for chance. */
    private static void assertWithinBudget(double[] sent, double gap) {
        double full = PROXIES * 1_000 / gap / HOSTS; // what a warm host gets a second, and so can do
        for (int from = 0; from + 15 <= 80; from++) {
            double got = Arrays.stream(sent, from, from + 15).sum();
            double least = 0.3 + 0.7 * (from * 100 + 750) / 8_000; // in the middle of the window
            assertThat(got).as("from %d ms", from * 100).isLessThan(1.2 * 0.5 * 3 * least * full * 1.5 + 5);
        }
    }
}
