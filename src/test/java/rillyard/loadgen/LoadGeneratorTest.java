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

/** Whole plans on a virtual clock. */
class LoadGeneratorTest {
    private static final String CLIENTS = "[clients]\nretries = 0\ntry_share = [1, 1]\n"
            + "[[class]]\nname = 'c'\nsemantics = 'idempotent'\naim_ms = 400\ndeadline_ms = 60000\n";

    private final VirtualScheduler timers = new VirtualScheduler();
    private final long zero = timers.now();

    private RunStatistics play(String plan, FakeTransport transport) throws Exception {
        LoadPlan loadPlan = LoadPlanReader.parse("p", plan, Path.of("."));
        RunStatistics statistics = new RunStatistics(loadPlan.seconds());
        LoadGenerator generator =
                new LoadGenerator(loadPlan, timers, transport, RequestLogWriter.disabled(), statistics, () -> {});
        generator.start();
        timers.drain();
        assertThat(generator.openRequests()).isZero();
        return statistics;
    }

    @Test
    void aTargetThatStallsShowsAsLateAnswersAtTheOfferedRate() throws Exception {
        // From 5 s to 7 s all stands still; what came meanwhile is answered at its end.
        FakeTransport transport = new FakeTransport(timers, request -> {
            double s = (timers.now() - zero) / 1e9;
            return FakeTransport.Fate.served(s < 5 || s >= 7 ? 1 : 1 + 1_000 * (7 - s));
        });
        RunStatistics statistics = play(
                "max_open = 100000\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 12\nrate = 500\n", transport);
        RunStatistics.ClassStatistics all = statistics.total();
        assertThat(all.offered).isEqualTo(6_000);
        for (double x = 0.1; x < 2; x += 0.1) {
            long later = all.latency.getCountBetweenValues((long) (1e6 * x), RunStatistics.MAX_MICROS);
            assertThat(later).isCloseTo(Math.round(500 * (2 - x)), within(4L));
        }
    }

    @Test
    void quantilesAreThoseOfTheInjectedDistribution() throws Exception {
        SplittableRandom random = new SplittableRandom(8);
        List<Double> drawn = new ArrayList<>();
        FakeTransport transport = new FakeTransport(timers, request -> {
            double ms = 20 * Math.exp(0.7 * random.nextGaussian());
            drawn.add(ms);
            return FakeTransport.Fate.served(ms);
        });
        RunStatistics statistics = play(CLIENTS + "[[shape]]\nkind = 'poisson'\nfor_s = 60\nrate = 1000\n", transport);
        drawn.sort(null);
        for (double p : new double[] {50, 90, 99, 99.9}) {
            double injected = drawn.get((int) Math.ceil(p / 100 * drawn.size()) - 1);
            double seen = statistics.total().latency.getValueAtPercentile(p) / 1_000.0;
            assertThat(seen).isCloseTo(injected, within(0.002 * injected)); // three digits
        }
    }

    @Test
    void pastItsBoundNothingIsSentAndTheRunIsInvalid() throws Exception {
        FakeTransport transport = new FakeTransport(timers, request -> FakeTransport.Fate.silence());
        String plan = "max_open = 50\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 200\n";
        RunStatistics statistics = play(plan, transport);
        assertThat(transport.tries).hasSize(50);
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
    void aGeneratorThatIsHeldUpSaysThatTheRunIsInvalid() throws Exception {
        // Each send takes 3 ms of the generator's one thread, of which 2 ms apart are due.
        FakeTransport transport = new FakeTransport(timers, request -> {
            timers.skip(3_000_000);
            return FakeTransport.Fate.served(1);
        });
        String plan = CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 500\n";
        RunStatistics statistics = play(plan, transport);
        RunReport report =
                RunReport.of(LoadPlanReader.parse("p", plan, Path.of(".")), statistics, false, 0, 0, List.of());
        assertThat(report.valid()).isFalse();
        assertThat(report.invalidBecause()).contains("could not keep its schedule");
        assertThat(report.lateness().max()).isBetween(450.0, 550.0);
        assertThat(report.total().latency().p50())
                .isGreaterThan(report.total().service().p50() + 200);
    }

    @Test
    void stoppedItLeavesWhatIsUnderWay() throws Exception {
        FakeTransport transport = new FakeTransport(timers, request -> FakeTransport.Fate.silence());
        LoadPlan plan = LoadPlanReader.parse(
                "p", CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 10\nrate = 100\n", Path.of("."));
        RunStatistics statistics = new RunStatistics(plan.seconds());
        boolean[] done = new boolean[1];
        LoadGenerator generator = new LoadGenerator(
                plan, timers, transport, RequestLogWriter.disabled(), statistics, () -> done[0] = true);
        generator.start();
        timers.passMs(995);
        generator.stop();
        assertThat(done[0]).isTrue();
        timers.drain();
        assertThat(transport.tries).hasSize(99);
        assertThat(transport.abandoned).isEqualTo(99);
        assertThat(statistics.total().abandoned).isEqualTo(99);
    }
}
