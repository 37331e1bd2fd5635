package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** When a proxy refuses: what tells of a jam of all, and what of some hosts only. */
class LatencyPressureTest {
    private static final String SAFE = "safe";

    private final BalancerFixture bench = new BalancerFixture();

    private Balancer safe(int hosts) {
        Balancer balancer = new Balancer(
                BalancerFixture.settings(BalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL)), 7, bench);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(hosts));
        return balancer;
    }

    /** Two hosts of ten turn all away, or lose it: what is refused for that has room at the others. */
    @Test
    void someHostsThatTurnAwayOrLoseAreNoJamOfAll() {
        for (AttemptOutcome lost : List.of(AttemptOutcome.REJECTED, AttemptOutcome.TIMEOUT)) {
            Balancer balancer = safe(10);
            for (int i = 0; i < 2_000; i++) {
                balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
                BalancerFixture.Send send = bench.last();
                for (int tries = 1; send.host() < 2 && tries < 4; tries++) {
                    balancer.onAttemptEnded(
                            bench.now,
                            i,
                            new AttemptResult(
                                    send.number(), lost, lost == AttemptOutcome.REJECTED ? 1 : 700, false, null));
                    send = bench.last();
                }
                bench.now += 5;
                balancer.onAttemptEnded(
                        bench.now, i, new AttemptResult(send.number(), AttemptOutcome.OK, 100, true, null));
            }
            assertThat(bench.refused).as("%s", lost).isEmpty();
            bench.sends.clear();
        }
    }

    /** What a quarter of the hosts may lose adds nothing to what the answers of the others tell. */
    @Test
    void aQuarterLostAddsNothingToWhatAnswersTell() {
        Settings settings = BalancerFixture.settings(BalancerFixture.type(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        AdmissionController admission = new AdmissionController(settings, new java.util.SplittableRandom(1), bench);
        for (int i = 0; i < 400; i++) {
            record(admission, i % 4 == 0);
            assertThat(admission.pressure(bench.now)).isLessThanOrEqualTo(0.25);
        }
        for (int i = 0; i < 100; i++) {
            record(admission, i % 5 != 0);
        }
        assertThat(admission.pressure(bench.now)).isGreaterThan(1);
    }

    private void record(AdmissionController admission, boolean lost) {
        bench.now += 1;
        if (lost) {
            admission.onNoAnswer(bench.now);
        } else {
            admission.onAnswer(bench.now, 0.25);
        }
    }

    /** Where more is lost than some hosts explain, it is a jam, though no answer is late. */
    @Test
    void mostAttemptsWithoutAnAnswerAreAJam() {
        Balancer balancer = safe(10);
        for (int i = 0; i < 200; i++) {
            balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
        }
        bench.now += 790;
        List<BalancerFixture.Send> out = List.copyOf(bench.sends);
        for (BalancerFixture.Send send : out) {
            boolean ok = send.request() % 5 == 0;
            balancer.onAttemptEnded(
                    bench.now,
                    send.request(),
                    new AttemptResult(
                            send.number(),
                            ok ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT,
                            ok ? 100 : 790,
                            true,
                            null));
        }
        int refused = bench.refused.size();
        for (int i = 1_000; i < 1_050; i++) {
            bench.now += 20;
            balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
        }
        assertThat(bench.refused.size() - refused).isGreaterThan(20);
    }

    /** A host that holds five takes six turns of 60 ms: too late to begin with an aim of 400 ms. */
    @Test
    void noWorkIsBegunWhereTheQueueTakesMostOfTheAim() {
        Balancer balancer = safe(2);
        for (int i = 0; i < 100 && bench.refused.isEmpty(); i++) {
            balancer.onRequest(bench.now, BalancerFixture.request(i, SAFE, 800));
            if (bench.refused.isEmpty()) {
                bench.now += 1; // pressure stays low: what refuses is the queue
                balancer.onAttemptEnded(
                        bench.now,
                        i,
                        new AttemptResult(0, AttemptOutcome.OK, i < 4 ? 360 : 100, true, BalancerFixture.held(5)));
            }
        }
        assertThat(bench.refused).isNotEmpty();
        assertThat(bench.logs).noneMatch(l -> l.contains("overload"));
    }
}
