package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.requestlog.RequestLogWriter;
import rillyard.scheduling.VirtualScheduler;

/** Runs complete plans on a virtual clock. */
class LoadGeneratorTest {
    private static final String CLIENTS = "[clients]\nretries = 0\ntry_share = [1, 1]\n"
            + "[[class]]\nname = 'c'\nsemantics = 'idempotent'\naim_ms = 400\ndeadline_ms = 60000\n";

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final long startNanos = scheduler.now();

    private RunStatistics run(String plan, FakeTransport transport) throws Exception {
        LoadPlan loadPlan = LoadPlanReader.parse("p", plan, Path.of("."));
        RunStatistics statistics = new RunStatistics(loadPlan.seconds());
        LoadGenerator generator =
                new LoadGenerator(loadPlan, scheduler, transport, RequestLogWriter.disabled(), statistics, () -> {});
        generator.start();
        scheduler.drain();
        assertThat(generator.openRequests()).isZero();
        return statistics;
    }

    @Test
    void stalledTargetShowsAsLateResponsesAtOfferedRate() throws Exception {
        // The target stalls from 5 s to 7 s and responds to the requests of that time at the end of the stall.
        FakeTransport transport = new FakeTransport(scheduler, request -> {
            double seconds = (scheduler.now() - startNanos) / 1e9;
            return FakeTransport.ScriptedResult.served(seconds < 5 || seconds >= 7 ? 1 : 1 + 1_000 * (7 - seconds));
        });
        RunStatistics statistics = run(
                "max_open = 100000\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 12\nrate = 500\n", transport);
        RunStatistics.ClassStatistics all = statistics.total();
        assertThat(all.offered).isEqualTo(6_000);
        for (double threshold = 0.1; threshold < 2; threshold += 0.1) {
            long later = all.latency.getCountBetweenValues((long) (1e6 * threshold), RunStatistics.MAX_MICROS);
            assertThat(later).isCloseTo(Math.round(500 * (2 - threshold)), within(4L));
        }
    }

    @Test
    void quantilesMatchInjectedDistribution() throws Exception {
        SplittableRandom random = new SplittableRandom(8);
        List<Double> drawn = new ArrayList<>();
        FakeTransport transport = new FakeTransport(scheduler, request -> {
            double ms = 20 * Math.exp(0.7 * random.nextGaussian());
            drawn.add(ms);
            return FakeTransport.ScriptedResult.served(ms);
        });
        RunStatistics statistics = run(CLIENTS + "[[shape]]\nkind = 'poisson'\nfor_s = 60\nrate = 1000\n", transport);
        drawn.sort(null);
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            double injected = drawn.get((int) Math.ceil(percentile / 100 * drawn.size()) - 1);
            double measured = statistics.total().latency.getValueAtPercentile(percentile) / 1_000.0;
            assertThat(measured).isCloseTo(injected, within(0.002 * injected)); // three significant digits
        }
    }

    @Test
    void requestsOverOpenLimitAreNotSentAndRunIsInvalid() throws Exception {
        FakeTransport transport = new FakeTransport(scheduler, request -> FakeTransport.ScriptedResult.noResponse());
        String plan = "max_open = 50\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 200\n";
        RunStatistics statistics = run(plan, transport);
        assertThat(transport.sentRequests).hasSize(50);
        assertThat(statistics.total().notSent).isEqualTo(150);
        RunReport report =
                RunReport.of(LoadPlanReader.parse("p", plan, Path.of(".")), statistics, false, 0, 0, List.of());
        assertThat(report.valid()).isFalse();
        assertThat(report.invalidBecause()).contains("150 requests were not sent");
        assertThat(report.total().offered())
                .isEqualTo(report.total().inAim()
                        + report.total().late()
                        + report.total().refused()
                        + report.total().failed()
                        + report.total().lost()
                        + report.total().abandoned()
                        + report.total().notSent());
    }

    @Test
    void delayedGeneratorMarksRunInvalid() throws Exception {
        // Each send blocks the generator's only thread for 3 ms, while sends are due every 2 ms.
        FakeTransport transport = new FakeTransport(scheduler, request -> {
            scheduler.skip(3_000_000);
            return FakeTransport.ScriptedResult.served(1);
        });
        String plan = CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 500\n";
        RunStatistics statistics = run(plan, transport);
        RunReport report =
                RunReport.of(LoadPlanReader.parse("p", plan, Path.of(".")), statistics, false, 0, 0, List.of());
        assertThat(report.valid()).isFalse();
        assertThat(report.invalidBecause()).contains("could not keep its schedule");
        assertThat(report.lateness().max()).isBetween(450.0, 550.0);
        assertThat(report.total().latency().p50())
                .isGreaterThan(report.total().service().p50() + 200);
    }

    @Test
    void stopAbandonsOpenRequests() throws Exception {
        FakeTransport transport = new FakeTransport(scheduler, request -> FakeTransport.ScriptedResult.noResponse());
        LoadPlan plan = LoadPlanReader.parse(
                "p", CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 10\nrate = 100\n", Path.of("."));
        RunStatistics statistics = new RunStatistics(plan.seconds());
        boolean[] done = new boolean[1];
        LoadGenerator generator = new LoadGenerator(
                plan, scheduler, transport, RequestLogWriter.disabled(), statistics, () -> done[0] = true);
        generator.start();
        scheduler.advanceMillis(995);
        generator.stop();
        assertThat(done[0]).isTrue();
        scheduler.drain();
        assertThat(transport.sentRequests).hasSize(99);
        assertThat(transport.abandoned).isEqualTo(99);
        assertThat(statistics.total().abandoned).isEqualTo(99);
    }
}
