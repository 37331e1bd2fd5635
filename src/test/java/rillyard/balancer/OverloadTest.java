package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** What a balancer rejects under overload, and what it goes on sending. */
class OverloadTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private Balancer safe(int hosts) {
        return balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(hosts));
    }

    @Test
    void overloadShedsRequestsUntilRecovery() {
        Balancer balancer = safe(4);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.now += 790;
        for (int i = 0; i < 60; i++) {
            balancer.onAttemptEnded(fixture.now, i, new AttemptResult(0, AttemptOutcome.OK, 790, true, null));
        }
        int sent = fixture.sends.size();
        for (int i = 1_000; i < 1_050; i++) {
            fixture.now += 20; // what comes in the same moment meets the same answer
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSizeGreaterThan(20);
        assertThat(fixture.sends).hasSizeGreaterThan(sent);
        fixture.now += 60_000;
        int rejected = fixture.rejected.size();
        for (int i = 2_000; i < 2_050; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSize(rejected);
    }

    /** A proxy with few requests must not forget an overload between two timeouts (incident i6d1b83). */
    @Test
    void overloadIsRememberedBetweenTimeouts() {
        Balancer balancer = safe(4);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.now += 790;
        for (int i = 0; i < 60; i++) {
            balancer.onAttemptEnded(fixture.now, i, new AttemptResult(0, AttemptOutcome.OK, 790, true, null));
        }
        fixture.now += 3_000;
        for (int i = 1_000; i < 1_100; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected).hasSizeGreaterThan(60);
    }

    /** A few expensive requests must not make each queue look too long to start an attempt. */
    @Test
    void expensiveRequestsDoNotInflateQueueEstimate() {
        Balancer balancer = safe(3);
        for (int i = 0; i < 120; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            BalancerFixture.Send send = fixture.lastSend();
            double spent = i % 10 == 9 ? 780 : 60;
            fixture.now += spent;
            balancer.onAttemptEnded(
                    fixture.now,
                    i,
                    new AttemptResult(send.number(), AttemptOutcome.OK, spent, true, BalancerFixture.reportOf(10)));
        }
        // A mean of 132 ms for 11 held makes a queue of 25 too long for the objective; a median of 60 does not.
        int rejected = fixture.rejected.size();
        fixture.now += 15_000; // pressure fades
        for (int i = 200; i < 203; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            balancer.onAttemptEnded(
                    fixture.now,
                    i,
                    new AttemptResult(
                            fixture.lastSend().number(), AttemptOutcome.OK, 60, true, BalancerFixture.reportOf(25)));
        }
        balancer.onRequest(fixture.now, BalancerFixture.request(900, SAFE, 800));
        assertThat(fixture.rejected).hasSize(rejected);
    }

    /** A tenant's burst must not displace requests of tenants within their quota. */
    @Test
    void tenantOverQuotaIsShedFirst() {
        Balancer balancer = balancer(
                BalancerFixture.settings(
                        List.of(new Settings.Tenant("x", 0.5), new Settings.Tenant("y", 0.5)),
                        BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(4));
        for (int i = 0; i < 90; i++) {
            balancer.onRequest(fixture.now, new IncomingRequest(i, SAFE, i % 9 == 0 ? "y" : "x", 800));
        }
        fixture.now += 790;
        for (int i = 0; i < 90; i++) {
            balancer.onAttemptEnded(fixture.now, i, new AttemptResult(0, AttemptOutcome.OK, 300, true, null));
        }
        int[] rejected = new int[2];
        for (int i = 0; i < 180; i++) {
            int before = fixture.rejected.size();
            boolean isSecondTenant = i % 9 == 0;
            fixture.now += 20;
            balancer.onRequest(fixture.now, new IncomingRequest(1_000 + i, SAFE, isSecondTenant ? "y" : "x", 800));
            rejected[isSecondTenant ? 1 : 0] += fixture.rejected.size() - before;
        }
        // 160 of x, 20 of y
        assertThat(rejected[0] / 160.0).isGreaterThan(1.3 * rejected[1] / 20.0);
    }

    /** Retries under overload must not overload a host that is warming up (i8a3c58). */
    @Test
    void overloadKeepsSlowStartLimit() {
        Balancer balancer = safe(5);
        int sendsWhileWarmingUp = 0;
        int served = 0;
        for (int i = 0; i < 4_000; i++) {
            fixture.now += 1;
            if (i == 2_000) {
                balancer.onWatchEvent(
                        fixture.now,
                        WatchEvent.DELTA,
                        List.of(BalancerFixture.host(3, EndpointEntry.Condition.READY, fixture.now)));
            }
            int before = fixture.sends.size();
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            for (int index = before; index < fixture.sends.size(); index++) {
                BalancerFixture.Send send = fixture.sends.get(index);
                boolean ok = index % 10 == 0; // hosts serve a tenth of what comes
                sendsWhileWarmingUp += i >= 2_000 && send.host() == 3 ? 1 : 0;
                served += i >= 2_000 && ok ? 1 : 0;
                balancer.onAttemptEnded(
                        fixture.now,
                        i,
                        new AttemptResult(
                                send.number(), ok ? AttemptOutcome.OK : AttemptOutcome.REJECTED, 2, ok, null));
            }
        }
        // A warm host serves a fifth of that, and a warming one may get at most three times as much.
        assertThat(sendsWhileWarmingUp).isLessThan(3 * Math.max(10, served / 5));
    }

    @Test
    void reportedQueueExpiresWhenDrained() {
        Balancer balancer = safe(2);
        for (int i = 0; fixture.rejected.isEmpty(); i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            if (fixture.rejected.isEmpty()) { // each answer takes 300 ms behind nine others
                fixture.now += 300;
                balancer.onAttemptEnded(
                        fixture.now,
                        i,
                        new AttemptResult(0, AttemptOutcome.OK, 300, true, BalancerFixture.reportOf(9)));
            }
            assertThat(i).isLessThan(100);
        }
        int before = fixture.sends.size();
        fixture.now += 2_400; // six objectives without a request, and so without a newer report
        for (int i = 0; i < 20; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(1_000 + i, SAFE, 800));
        }
        assertThat(fixture.sends.size() - before).isGreaterThan(5);
    }
}
