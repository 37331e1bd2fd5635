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
        LoadPlan p = LoadPlanReader.parse("p", plan, Path.of("."));
        RunStatistics tally = new RunStatistics(p.seconds());
        LoadGenerator g = new LoadGenerator(p, timers, transport, RequestLogWriter.none(), tally, () -> {});
        g.start();
        timers.drain();
        assertThat(g.open()).isZero();
        return tally;
    }

    @Test
    void aTargetThatStallsShowsAsLateAnswersAtTheOfferedRate() throws Exception {
        // From 5 s to 7 s all stands still; what came meanwhile is answered at its end.
        FakeTransport t = new FakeTransport(timers, x -> {
            double s = (timers.now() - zero) / 1e9;
            return FakeTransport.Fate.served(s < 5 || s >= 7 ? 1 : 1 + 1_000 * (7 - s));
        });
        RunStatistics tally =
                play("max_open = 100000\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 12\nrate = 500\n", t);
        RunStatistics.ClassStatistics all = tally.total();
        assertThat(all.offered).isEqualTo(6_000);
        for (double x = 0.1; x < 2; x += 0.1) {
            long later = all.latency.getCountBetweenValues((long) (1e6 * x), RunStatistics.MOST_MICROS);
            assertThat(later).isCloseTo(Math.round(500 * (2 - x)), within(4L));
        }
    }

    @Test
    void quantilesAreThoseOfTheInjectedDistribution() throws Exception {
        SplittableRandom random = new SplittableRandom(8);
        List<Double> drawn = new ArrayList<>();
        FakeTransport t = new FakeTransport(timers, x -> {
            double ms = 20 * Math.exp(0.7 * random.nextGaussian());
            drawn.add(ms);
            return FakeTransport.Fate.served(ms);
        });
        RunStatistics tally = play(CLIENTS + "[[shape]]\nkind = 'poisson'\nfor_s = 60\nrate = 1000\n", t);
        drawn.sort(null);
        for (double p : new double[] {50, 90, 99, 99.9}) {
            double injected = drawn.get((int) Math.ceil(p / 100 * drawn.size()) - 1);
            double seen = tally.total().latency.getValueAtPercentile(p) / 1_000.0;
            assertThat(seen).isCloseTo(injected, within(0.002 * injected)); // three digits
        }
    }

    @Test
    void pastItsBoundNothingIsSentAndTheRunIsInvalid() throws Exception {
        FakeTransport t = new FakeTransport(timers, x -> FakeTransport.Fate.silence());
        String plan = "max_open = 50\n" + CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 200\n";
        RunStatistics tally = play(plan, t);
        assertThat(t.tries).hasSize(50);
        assertThat(tally.total().notSent).isEqualTo(150);
        RunReport r = RunReport.of(LoadPlanReader.parse("p", plan, Path.of(".")), tally, false, 0, 0, List.of());
        assertThat(r.valid()).isFalse();
        assertThat(r.invalidBecause()).contains("150 requests were not sent");
        assertThat(r.total().offered())
                .isEqualTo(r.total().inAim()
                        + r.total().late()
                        + r.total().refused()
                        + r.total().failed()
                        + r.total().lost()
                        + r.total().abandoned()
                        + r.total().notSent());
    }

    @Test
    void aGeneratorThatIsHeldUpSaysThatTheRunIsInvalid() throws Exception {
        // Each send takes 3 ms of the generator's one thread, of which 2 ms apart are due.
        FakeTransport t = new FakeTransport(timers, x -> {
            timers.skip(3_000_000);
            return FakeTransport.Fate.served(1);
        });
        String plan = CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 500\n";
        RunStatistics tally = play(plan, t);
        RunReport r = RunReport.of(LoadPlanReader.parse("p", plan, Path.of(".")), tally, false, 0, 0, List.of());
        assertThat(r.valid()).isFalse();
        assertThat(r.invalidBecause()).contains("could not keep its schedule");
        assertThat(r.lateness().max()).isBetween(450.0, 550.0);
        assertThat(r.total().latency().p50()).isGreaterThan(r.total().service().p50() + 200);
    }

    @Test
    void stoppedItLeavesWhatIsUnderWay() throws Exception {
        FakeTransport t = new FakeTransport(timers, x -> FakeTransport.Fate.silence());
        LoadPlan p = LoadPlanReader.parse(
                "p", CLIENTS + "[[shape]]\nkind = 'steady'\nfor_s = 10\nrate = 100\n", Path.of("."));
        RunStatistics tally = new RunStatistics(p.seconds());
        boolean[] done = new boolean[1];
        LoadGenerator g = new LoadGenerator(p, timers, t, RequestLogWriter.none(), tally, () -> done[0] = true);
        g.start();
        timers.passMs(995);
        g.stop();
        assertThat(done[0]).isTrue();
        timers.drain();
        assertThat(t.tries).hasSize(99);
        assertThat(t.abandoned).isEqualTo(99);
        assertThat(tally.total().abandoned).isEqualTo(99);
    }
}
