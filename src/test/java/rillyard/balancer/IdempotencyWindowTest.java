package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Until when an attempt may be written that waits for its connection. */
class IdempotencyWindowTest {
    private static final double WINDOW = 300;

    private final List<Double> notAfter = new ArrayList<>();
    private final BalancerFixture bench = new BalancerFixture();

    private Balancer balancer(Semantics semantics) {
        BalancerActions heard = new BalancerActions() {
            @Override
            public void send(long request, long host, double giveUpAfter, double latest) {
                notAfter.add(latest);
                bench.send(request, host, giveUpAfter, latest);
            }

            @Override
            public void reject(long request, double coolDown) {
                bench.reject(request, coolDown);
            }

            @Override
            public void fail(long request) {
                bench.fail(request);
            }

            @Override
            public void cancel(long request, int attempt) {}

            @Override
            public void scheduleTimer(double delay, long token) {}

            @Override
            public void subscribe() {}

            @Override
            public void log(String line) {}
        };
        Balancer balancer =
                new Balancer(BalancerFixture.settings(BalancerFixture.type("c", semantics, Scope.ALL)), 1, heard);
        balancer.onStart(bench.now);
        balancer.onWatchEvent(bench.now, WatchEvent.FULL, BalancerFixture.hosts(4));
        return balancer;
    }

    @Test
    void aRepeatHasTheRestOfTheFirstSendsWindow() {
        Balancer b = balancer(Semantics.DEDUPLICATED);
        double first = bench.now;
        b.onRequest(bench.now, BalancerFixture.request(1, "c", 800));
        bench.now += 100;
        b.onAttemptEnded(bench.now, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        bench.now += 50;
        b.onAttemptEnded(bench.now, 1, new AttemptResult(1, AttemptOutcome.ERROR, 50, false, null));
        assertThat(notAfter).hasSize(3);
        assertThat(notAfter.get(0)).isEqualTo(Double.POSITIVE_INFINITY);
        assertThat(notAfter.get(1))
                .isEqualTo(first + WINDOW - Tuning.IDEMPOTENCY_MARGIN_MILLIS)
                .isEqualTo(notAfter.get(2));
    }

    @Test
    void whatNeverRanOpensNoWindow() {
        Balancer b = balancer(Semantics.DEDUPLICATED);
        b.onRequest(bench.now, BalancerFixture.request(1, "c", 800));
        bench.now += 100;
        b.onAttemptEnded(bench.now, 1, new AttemptResult(0, AttemptOutcome.CONNECT_FAILED, 100, false, null));
        assertThat(notAfter).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    @Test
    void whatIsSafeToRepeatMayRunAtAnyTime() {
        Balancer b = balancer(Semantics.IDEMPOTENT);
        b.onRequest(bench.now, BalancerFixture.request(1, "c", 800));
        bench.now += 100;
        b.onAttemptEnded(bench.now, 1, new AttemptResult(0, AttemptOutcome.ERROR, 100, false, null));
        assertThat(notAfter).containsExactly(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }
}
