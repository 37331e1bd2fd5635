package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests which requests a balancer rejects under overload, and which it still sends. */
class OverloadTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private Balancer balancerWithHosts(int hostCount) {
        return balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(hostCount));
    }

    @Test
    void overloadShedsRequestsUntilRecovery() {
        Balancer balancer = balancerWithHosts(4);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.nowMillis += 790;
        for (int i = 0; i < 60; i++) {
            balancer.onAttemptEnded(fixture.nowMillis, i, new AttemptResult(0, AttemptOutcome.OK, 790, true, null));
        }
        int sendsBefore = fixture.sends.size();
        for (int i = 1_000; i < 1_050; i++) {
            fixture.nowMillis += 20; // requests within one time slot meet the same decision
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSizeGreaterThan(20);
        assertThat(fixture.sends).hasSizeGreaterThan(sendsBefore);
        fixture.nowMillis += 60_000;
        int rejectedBefore = fixture.rejected.size();
        for (int i = 2_000; i < 2_050; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSize(rejectedBefore);
    }

    /** At a proxy with few requests, the pressure must last from one timeout to the next (incident i6d1b83). */
    @Test
    void overloadIsRememberedBetweenTimeouts() {
        Balancer balancer = balancerWithHosts(4);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.nowMillis += 790;
        for (int i = 0; i < 60; i++) {
            balancer.onAttemptEnded(fixture.nowMillis, i, new AttemptResult(0, AttemptOutcome.OK, 790, true, null));
        }
        fixture.nowMillis += 3_000;
        for (int i = 1_000; i < 1_100; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSizeGreaterThan(60);
    }

    /** A few expensive requests must not make the expected latency of every queue too long to start an attempt. */
    @Test
    void expensiveRequestsDoNotInflateQueueEstimate() {
        Balancer balancer = balancerWithHosts(3);
        for (int i = 0; i < 120; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            BalancerFixture.Send send = fixture.lastSend();
            double latencyMillis = i % 10 == 9 ? 780 : 60;
            fixture.nowMillis += latencyMillis;
            balancer.onAttemptEnded(
                    fixture.nowMillis,
                    i,
                    new AttemptResult(
                            send.attempt(), AttemptOutcome.OK, latencyMillis, true, BalancerFixture.reportOf(10)));
        }
        // With a mean of 132 ms for 11 requests, a queue of 25 is too long for the objective; the median is 60 ms.
        int rejectedBefore = fixture.rejected.size();
        fixture.nowMillis += 15_000; // the pressure decays
        for (int i = 200; i < 203; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            balancer.onAttemptEnded(
                    fixture.nowMillis,
                    i,
                    new AttemptResult(
                            fixture.lastSend().attempt(), AttemptOutcome.OK, 60, true, BalancerFixture.reportOf(25)));
        }
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(900, SAFE, 800));
        assertThat(fixture.rejected).hasSize(rejectedBefore);
    }

    /** A burst of one tenant must not displace requests of tenants that are within their quota. */
    @Test
    void tenantOverQuotaIsShedFirst() {
        Balancer balancer = balancer(
                BalancerFixture.settings(
                        List.of(new Settings.Tenant("x", 0.5), new Settings.Tenant("y", 0.5)),
                        BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(4));
        for (int i = 0; i < 90; i++) {
            balancer.onRequest(fixture.nowMillis, new IncomingRequest(i, SAFE, i % 9 == 0 ? "y" : "x", 800));
        }
        fixture.nowMillis += 790;
        for (int i = 0; i < 90; i++) {
            balancer.onAttemptEnded(fixture.nowMillis, i, new AttemptResult(0, AttemptOutcome.OK, 300, true, null));
        }
        int[] rejected = new int[2];
        for (int i = 0; i < 180; i++) {
            int before = fixture.rejected.size();
            boolean isSecondTenant = i % 9 == 0;
            fixture.nowMillis += 20;
            balancer.onRequest(
                    fixture.nowMillis, new IncomingRequest(1_000 + i, SAFE, isSecondTenant ? "y" : "x", 800));
            rejected[isSecondTenant ? 1 : 0] += fixture.rejected.size() - before;
        }
        // 160 requests of tenant x, 20 of tenant y
        assertThat(rejected[0] / 160.0).isGreaterThan(1.3 * rejected[1] / 20.0);
    }

    /** Retries under overload must not overload a host that is warming up (incident i8a3c58). */
    @Test
    void overloadKeepsSlowStartLimit() {
        Balancer balancer = balancerWithHosts(5);
        int sendsWhileWarmingUp = 0;
        int served = 0;
        for (int i = 0; i < 4_000; i++) {
            fixture.nowMillis += 1;
            if (i == 2_000) {
                balancer.onWatchEvent(
                        fixture.nowMillis,
                        WatchEvent.DELTA,
                        List.of(BalancerFixture.host(3, EndpointEntry.Condition.READY, fixture.nowMillis)));
            }
            int before = fixture.sends.size();
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            for (int index = before; index < fixture.sends.size(); index++) {
                BalancerFixture.Send send = fixture.sends.get(index);
                boolean ok = index % 10 == 0; // hosts serve a tenth of the attempts
                sendsWhileWarmingUp += i >= 2_000 && send.host() == 3 ? 1 : 0;
                served += i >= 2_000 && ok ? 1 : 0;
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        i,
                        new AttemptResult(
                                send.attempt(), ok ? AttemptOutcome.OK : AttemptOutcome.REJECTED, 2, ok, null));
            }
        }
        // A warm host serves a fifth of these; one that is warming up may get at most three times that.
        assertThat(sendsWhileWarmingUp).isLessThan(3 * Math.max(10, served / 5));
    }

    @Test
    void reportedQueueExpiresWhenDrained() {
        Balancer balancer = balancerWithHosts(2);
        for (int i = 0; fixture.rejected.isEmpty(); i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            if (fixture.rejected.isEmpty()) { // each response takes 300 ms behind nine other requests
                fixture.nowMillis += 300;
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        i,
                        new AttemptResult(0, AttemptOutcome.OK, 300, true, BalancerFixture.reportOf(9)));
            }
            assertThat(i).isLessThan(100);
        }
        int before = fixture.sends.size();
        fixture.nowMillis += 2_400; // six objectives without a request or a newer report
        for (int i = 0; i < 20; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1_000 + i, SAFE, 800));
        }
        assertThat(fixture.sends.size() - before).isGreaterThan(5);
    }
}
