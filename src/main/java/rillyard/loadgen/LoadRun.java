package rillyard.loadgen;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnexpectedResponse;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.EventLoopScheduler;
import rillyard.scheduling.EventLoops;

/**
 * Runs a load plan against targets, on an event loop of its own. {@link #interrupt} may be called from any thread.
 */
public final class LoadRun {
    /** Interval of progress lines. */
    private static final long PROGRESS_INTERVAL_NANOS = 1_000_000_000L;

    private final LoadPlan plan;
    private final RequestLogWriter requestLog;
    private final RunStatistics statistics;
    private final EventLoopGroup group = EventLoops.group(1, "load");
    private final EventLoop loop = group.next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final PrintStream progress;
    private final HttpTransport transport;
    private final LoadGenerator generator;
    private volatile boolean interrupted;
    private volatile long startedMicros;
    private double cpuSeconds;
    private long shownFinished;
    private long shownOffered;

    /**
     * Creates a run that sends to the targets in turn; nothing is sent yet.
     *
     * @param targets addresses to send to, at least one
     * @param requestLog where attempts are logged; stays open after the run
     * @param progress gets a progress line each second, or null for none
     */
    public LoadRun(LoadPlan plan, List<InetSocketAddress> targets, RequestLogWriter requestLog, PrintStream progress) {
        this(plan, targets, false, requestLog, progress);
    }

    /**
     * Creates a run; nothing is sent yet.
     *
     * @param targetPerClient whether a client's number selects its target, as with one proxy beside each client;
     *     otherwise the targets are used in turn
     */
    public LoadRun(
            LoadPlan plan,
            List<InetSocketAddress> targets,
            boolean targetPerClient,
            RequestLogWriter requestLog,
            PrintStream progress) {
        this.plan = plan;
        this.requestLog = requestLog;
        this.progress = progress;
        this.statistics = new RunStatistics(plan.seconds());
        this.transport = new HttpTransport(
                loop, targets, targetPerClient, plan.clients().idleMillis(), plan.verify(), this::onUnexpectedResponse);
        this.generator = new LoadGenerator(
                plan, new EventLoopScheduler(loop), transport, requestLog, statistics, done::countDown);
    }

    private void onUnexpectedResponse(String id) {
        statistics.onUnexpectedResponse();
        requestLog.append(new UnexpectedResponse(UnixClock.micros(), id));
    }

    /**
     * Runs the plan until it ends or is interrupted. May be called once.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void run() throws InterruptedException {
        double cpuSecondsBefore = processCpuSeconds();
        loop.execute(() -> {
            startedMicros = UnixClock.micros();
            generator.start();
        });
        Future<?> progressTask = progress == null
                ? null
                : loop.scheduleAtFixedRate(
                        this::showProgress, PROGRESS_INTERVAL_NANOS, PROGRESS_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        try {
            done.await();
        } finally {
            cpuSeconds = processCpuSeconds() - cpuSecondsBefore;
            if (progressTask != null) {
                progressTask.cancel(false);
            }
            group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
            requestLog.flush();
        }
    }

    private static double processCpuSeconds() {
        return ProcessHandle.current()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / 1e9;
    }

    /** Ends the run early: nothing more is sent and open requests are abandoned. No effect after the run. */
    public void interrupt() {
        if (done.getCount() > 0) {
            interrupted = true;
            try {
                loop.execute(generator::stop);
            } catch (java.util.concurrent.RejectedExecutionException e) {
                // the run ended meanwhile
            }
        }
    }

    /** Returns the start of the run in microseconds of Unix time, or 0 before it. */
    public long startedMicros() {
        return startedMicros;
    }

    private void showProgress() {
        long offered = statistics.offered();
        long finished = statistics.finishedCount();
        RunStatistics.ClassStatistics all = statistics.total();
        progress.printf(
                Locale.ROOT,
                "%5.0f s  offered %6d/s  finished %6d/s  open %5d  in time %6.2f %%  p99 %8.2f ms%n",
                (UnixClock.micros() - startedMicros) / 1e6,
                offered - shownOffered,
                finished - shownFinished,
                generator.openRequests(),
                100.0 * all.withinObjective / Math.max(1, finished),
                all.latency.getValueAtPercentile(99) / 1_000.0);
        shownOffered = offered;
        shownFinished = finished;
    }

    /**
     * Returns the report, once {@link #run} has returned.
     *
     * @param marks events of hosts to show on the timeline
     */
    public RunReport report(List<RunReport.Mark> marks) {
        return RunReport.of(plan, statistics, interrupted, cpuSeconds, transport.connectCount(), marks);
    }

    /**
     * Writes the histograms into an existing folder, once {@link #run} has returned.
     *
     * @throws IOException if a file cannot be written
     */
    public void writeHistograms(java.nio.file.Path folder) throws IOException {
        HistogramFiles.write(folder, statistics);
    }
}
