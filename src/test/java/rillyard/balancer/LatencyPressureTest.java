package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests that the latency pressure indicates an overload of all hosts, but not the faults of a few. */
class LatencyPressureTest {
    private static final String SAFE = "safe";

    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancerWithHosts(int hostCount) {
        Balancer balancer = new Balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                7,
                fixture);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(hostCount));
        return balancer;
    }

    /** Two hosts of ten reject all requests or let them time out. The others have the capacity, so nothing is shed. */
    @Test
    void rejectionsOfFewHostsAreNoOverload() {
        for (AttemptOutcome loss : List.of(AttemptOutcome.REJECTED, AttemptOutcome.TIMEOUT)) {
            Balancer balancer = balancerWithHosts(10);
            for (int i = 0; i < 2_000; i++) {
                balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
                BalancerFixture.Send send = fixture.lastSend();
                for (int tries = 1; send.host() < 2 && tries < 4; tries++) {
                    balancer.onAttemptEnded(
                            fixture.nowMillis,
                            i,
                            new AttemptResult(
                                    send.attempt(), loss, loss == AttemptOutcome.REJECTED ? 1 : 700, false, null));
                    send = fixture.lastSend();
                }
                fixture.nowMillis += 5;
                balancer.onAttemptEnded(
                        fixture.nowMillis, i, new AttemptResult(send.attempt(), AttemptOutcome.OK, 100, true, null));
            }
            assertThat(fixture.rejected).as("%s", loss).isEmpty();
            fixture.sends.clear();
        }
    }

    /** Lost attempts that a quarter of the hosts explains must not add to the pressure from the others' latency. */
    @Test
    void quarterOfAttemptsLostAddsNoPressure() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        AdmissionController admission = new AdmissionController(settings, new java.util.SplittableRandom(1), fixture);
        for (int i = 0; i < 400; i++) {
            recordAttempt(admission, i % 4 == 0);
            assertThat(admission.pressure(fixture.nowMillis)).isLessThanOrEqualTo(0.25);
        }
        for (int i = 0; i < 100; i++) {
            recordAttempt(admission, i % 5 != 0);
        }
        assertThat(admission.pressure(fixture.nowMillis)).isGreaterThan(1);
    }

    private void recordAttempt(AdmissionController admission, boolean lost) {
        fixture.nowMillis += 1;
        if (lost) {
            admission.onRejectionOrTimeout(fixture.nowMillis);
        } else {
            admission.onResponse(fixture.nowMillis, 0.25);
        }
    }

    /** Four of five attempts time out, more than a few hosts explain: an overload, although no response is late. */
    @Test
    void unansweredMajorityIsOverload() {
        Balancer balancer = balancerWithHosts(10);
        for (int i = 0; i < 200; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.nowMillis += 790;
        List<BalancerFixture.Send> sends = List.copyOf(fixture.sends);
        for (BalancerFixture.Send send : sends) {
            boolean ok = send.requestId() % 5 == 0;
            balancer.onAttemptEnded(
                    fixture.nowMillis,
                    send.requestId(),
                    new AttemptResult(
                            send.attempt(),
                            ok ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                            ok ? 100 : 790,
                            true,
                            null));
        }
        int rejectedBefore = fixture.rejected.size();
        for (int i = 1_000; i < 1_050; i++) {
            fixture.nowMillis += 20;
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected.size() - rejectedBefore).isGreaterThan(20);
    }

    /**
     * A host that holds five requests takes 6 * 60 ms until the response to another one: too long to start an attempt
     * with a latency objective of 400 ms.
     */
    @Test
    void longQueueRejectsFirstAttempt() {
        Balancer balancer = balancerWithHosts(2);
        for (int i = 0; i < 100 && fixture.rejected.isEmpty(); i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            if (fixture.rejected.isEmpty()) {
                fixture.nowMillis += 1; // the pressure stays low, so the queue causes the rejection
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        i,
                        new AttemptResult(0, AttemptOutcome.OK, i < 4 ? 360 : 100, true, BalancerFixture.reportOf(5)));
            }
        }
        assertThat(fixture.rejected).isNotEmpty();
        assertThat(fixture.logs).noneMatch(line -> line.contains("overload"));
    }
}
