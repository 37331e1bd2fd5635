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

/** What many proxies do together that share nothing: each is played on its own, and the sums are taken. */
class ManyProxiesTest {
    private static final String SAFE = "safe";
    private static final int PROXIES = 14;
    private static final int HOSTS = 20;

    /** The host that starts cold, and when (ms). */
    private static final long COLD = 3;

    private static final double RESTART = 20_000;

    private static Settings of(int position, String zone) {
        Settings settings = BalancerFixture.settings(BalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
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

    private static Balancer start(BalancerFixture bench, int position, String zone, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(of(position, zone), 100 + position, bench);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    /** Fourteen proxies with ten requests in flight each are not all connected to all of sixty hosts. */
    @Test
    void aProxyOfManyDrawsFromAPartOfALargeFleet() {
        int pairs = 0;
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            BalancerFixture bench = new BalancerFixture();
            Balancer balancer = start(bench, proxy, null, BalancerFixture.hosts(60));
            for (int i = 0; i < 1_000; i++) {
                balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
                bench.now += 10;
                if (i >= 10) {
                    balancer.onAttemptEnded(
                            bench.now,
                            bench.sends.get(i - 10).request(),
                            new AttemptResult(0, AttemptOutcome.OK, 100, true, null));
                }
            }
            pairs += (int) bench.sends.stream()
                    .map(BalancerFixture.Send::host)
                    .distinct()
                    .count();
        }
        assertThat(pairs).isBetween(PROXIES * 10, PROXIES * 20); // of 14 * 60
    }

    /**
     * One proxy of a hundred has sixty requests in flight: spread over sixty hosts they take no more connections
     * than over the few that it may keep idle ones to, and jam none.
     */
    @Test
    void aHotProxyUsesAsManyHostsAsItHasRequestsInFlight() {
        Settings settings = of(3, null);
        Settings many = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, null, 30, 100, 1);
        BalancerFixture bench = new BalancerFixture();
        Balancer balancer = new Balancer(many, 7, bench);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(40));
        for (int i = 0; i < 2_000; i++) {
            balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
            bench.now += 2.5;
            if (i >= 60) {
                balancer.onAttemptEnded(
                        bench.now,
                        bench.sends.get(i - 60).request(),
                        new AttemptResult(0, AttemptOutcome.OK, 150, true, null));
            }
        }
        long used = bench.sends.stream()
                .skip(1_000)
                .map(BalancerFixture.Send::host)
                .distinct()
                .count();
        assertThat(used).isEqualTo(40); // 24 at sixty proxies a host
    }

    /** Five hosts of which one is idle: where own counts tie, its report is seen in most draws. */
    @Test
    void mostDrawsOfALightProxyMeetTheIdleHost() {
        BalancerFixture bench = new BalancerFixture();
        Balancer balancer = start(bench, 3, null, BalancerFixture.hosts(5));
        int idle = 0;
        for (int i = 0; i < 1_000; i++) {
            balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
            long host = bench.last().host();
            idle += host == 2 ? 1 : 0;
            bench.now += 10;
            balancer.onAttemptEnded(
                    bench.now,
                    i,
                    new AttemptResult(0, AttemptOutcome.OK, 100, true, BalancerFixture.held(host == 2 ? 0 : 3)));
        }
        assertThat(idle).isGreaterThan(700);
    }

    /** Guards rule 4 over the sum of all proxies: the cold host looks idle, only its budget holds them back. */
    @Test
    void allProxiesTogetherKeepTheBudgetOfAColdHost() {
        double[] sent = sentToTheColdHost(50, 50, false, false);
        assertWithinBudget(sent, 50);
        assertThat(Arrays.stream(sent).sum()).isGreaterThan(20); // it is not starved
    }

    /**
     * The warm hosts fall silent as the cold one starts, so that every proxy's draw finds nobody, also of those
     * in whose pool it is not: they must not add their part to the parts of those that lend it from their pool.
     */
    @Test
    void theSilenceOfTheWarmDoesNotHaveAllProxiesFallOnTheColdHost() {
        assertWithinBudget(sentToTheColdHost(10, 10, true, false), 10);
    }

    /** Answers take so long that proxies draw from both zones: the parts of the other zone's add up too. */
    @Test
    void proxiesOfAnotherZoneThatSpillKeepTheSumTheSame() {
        double[] sent = sentToTheColdHost(10, 160, false, true);
        assertWithinBudget(sent, 10);
        assertThat(Arrays.stream(sent).sum()).isGreaterThan(20);
    }

    /**
     * Sends at the cold host in slots of 100 ms from its start on, over proxies of which each second one has
     * itself just started and the others are told of it while under way. Each brings a request
     * every {@code gap} ms; answers take {@code spent} ms, and warm hosts report three held. Where these fall
     * silent, they do so as it starts. With zones, half of hosts and proxies are in each of two.
     */
    private static double[] sentToTheColdHost(double gap, double spent, boolean silent, boolean zones) {
        double[] sent = new double[100];
        for (int p = 0; p < PROXIES; p++) {
            BalancerFixture bench = new BalancerFixture();
            boolean told = p % 2 == 0; // as it starts itself: of the restart it knows from the list only
            bench.now = told ? RESTART : 1_000;
            List<EndpointEntry> hosts = new ArrayList<>();
            for (long h = 0; h < HOSTS; h++) {
                hosts.add(entry(h, told && h == COLD ? RESTART : 0));
            }
            Balancer balancer = start(bench, p, zones ? zone(p / 2) : null, hosts);
            ArrayDeque<BalancerFixture.Send> out = new ArrayDeque<>();
            for (int i = 0; bench.now < RESTART + 10_000; i++) {
                if (!told && bench.now >= RESTART) {
                    told = true;
                    balancer.onWatchEvent(bench.now, WatchEvent.DELTA, List.of(entry(COLD, RESTART)));
                }
                while (!out.isEmpty() && out.peek().at() + 800 <= bench.now) {
                    BalancerFixture.Send send = out.poll();
                    balancer.onAttemptEnded(
                            bench.now,
                            send.request(),
                            new AttemptResult(send.number(), AttemptOutcome.TIMEOUT, 800, true, null));
                }
                int before = bench.sends.size();
                balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
                double at = bench.now;
                bench.now += gap;
                if (bench.sends.size() == before) {
                    continue; // refused
                }
                boolean cold = bench.last().host() == COLD;
                if (told && cold) {
                    sent[(int) ((at - RESTART) / 100)]++;
                }
                if (told && silent && !cold) {
                    out.add(bench.last());
                } else {
                    balancer.onAttemptEnded(
                            bench.now,
                            i,
                            new AttemptResult(
                                    0, AttemptOutcome.OK, spent, true, BalancerFixture.held(told && cold ? 0 : 3)));
                }
            }
        }
        return sent;
    }

    private static String zone(long n) {
        return n % 2 == 0 ? "a" : "b";
    }

    private static EndpointEntry entry(long id, double since) {
        return new EndpointEntry(id, zone(id), "k", id / 4, Condition.READY, 1, since);
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
