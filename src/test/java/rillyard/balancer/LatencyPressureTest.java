package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Pressure: evidence of an overload of all hosts as opposed to faults of a few. */
class LatencyPressureTest {
    private static final String SAFE = "safe";

    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer safe(int hosts) {
        Balancer balancer = new Balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                7,
                fixture);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(hosts));
        return balancer;
    }

    /** Two hosts of ten reject or lose all requests: the others have the capacity for them. */
    @Test
    void rejectionsOfFewHostsAreNoOverload() {
        for (AttemptOutcome lost : List.of(AttemptOutcome.REJECTED, AttemptOutcome.TIMEOUT)) {
            Balancer balancer = safe(10);
            for (int i = 0; i < 2_000; i++) {
                balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
                BalancerFixture.Send send = fixture.lastSend();
                for (int tries = 1; send.host() < 2 && tries < 4; tries++) {
                    balancer.onAttemptEnded(
                            fixture.now,
                            i,
                            new AttemptResult(
                                    send.number(), lost, lost == AttemptOutcome.REJECTED ? 1 : 700, false, null));
                    send = fixture.lastSend();
                }
                fixture.now += 5;
                balancer.onAttemptEnded(
                        fixture.now, i, new AttemptResult(send.number(), AttemptOutcome.OK, 100, true, null));
            }
            assertThat(fixture.rejected).as("%s", lost).isEmpty();
            fixture.sends.clear();
        }
    }

    /** Losses that a quarter of the hosts explains add nothing to the latency of the others. */
    @Test
    void quarterOfAttemptsLostAddsNoPressure() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        AdmissionController admission = new AdmissionController(settings, new java.util.SplittableRandom(1), fixture);
        for (int i = 0; i < 400; i++) {
            record(admission, i % 4 == 0);
            assertThat(admission.pressure(fixture.now)).isLessThanOrEqualTo(0.25);
        }
        for (int i = 0; i < 100; i++) {
            record(admission, i % 5 != 0);
        }
        assertThat(admission.pressure(fixture.now)).isGreaterThan(1);
    }

    private void record(AdmissionController admission, boolean lost) {
        fixture.now += 1;
        if (lost) {
            admission.onRejectionOrTimeout(fixture.now);
        } else {
            admission.onResponse(fixture.now, 0.25);
        }
    }

    /** Losses beyond what some hosts explain are an overload, though no answer is late. */
    @Test
    void unansweredMajorityIsOverload() {
        Balancer balancer = safe(10);
        for (int i = 0; i < 200; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        fixture.now += 790;
        List<BalancerFixture.Send> out = List.copyOf(fixture.sends);
        for (BalancerFixture.Send send : out) {
            boolean ok = send.request() % 5 == 0;
            balancer.onAttemptEnded(
                    fixture.now,
                    send.request(),
                    new AttemptResult(
                            send.number(),
                            ok ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                            ok ? 100 : 790,
                            true,
                            null));
        }
        int rejectedBefore = fixture.rejected.size();
        for (int i = 1_000; i < 1_050; i++) {
            fixture.now += 20;
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(fixture.rejected.size() - rejectedBefore).isGreaterThan(20);
    }

    /** A host that holds five takes six turns of 60 ms: too late to begin with an aim of 400 ms. */
    @Test
    void longQueueRejectsFirstAttempt() {
        Balancer balancer = safe(2);
        for (int i = 0; i < 100 && fixture.rejected.isEmpty(); i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            if (fixture.rejected.isEmpty()) {
                fixture.now += 1; // pressure stays low: what refuses is the queue
                balancer.onAttemptEnded(
                        fixture.now,
                        i,
                        new AttemptResult(0, AttemptOutcome.OK, i < 4 ? 360 : 100, true, BalancerFixture.reportOf(5)));
            }
        }
        assertThat(fixture.rejected).isNotEmpty();
        assertThat(fixture.logs).noneMatch(line -> line.contains("overload"));
    }
}
