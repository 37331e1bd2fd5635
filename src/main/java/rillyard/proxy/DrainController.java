package rillyard.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.logging.ProxyLog;

/**
 * Drains a proxy: accepts new connections for a short time, completes the requests that were received, and then marks
 * the proxy as ended.
 *
 * <p>Confined to the event loop, except {@link #awaitEnd} and {@link #onLoopEnded}.
 */
final class DrainController {
    /** Time (ms) for which connections are accepted; clients open new ones for at most 0.4 s after SIGTERM. */
    private static final long ACCEPT_MILLIS = 800;

    /**
     * Time (ms) for which idle connections stay open when there is a successor. The response to a request in this time
     * closes its connection, so that the client connects to the successor.
     */
    private static final long MIGRATION_MILLIS = 400;

    /**
     * Time (ms) from the longest deadline to the end of the drain. SIGKILL comes at least 0.7 s after that deadline,
     * and the process needs part of that to exit.
     */
    private static final long DRAIN_MARGIN_MILLIS = 550;

    /** The longest deadline (ms) that the time until SIGKILL allows for. */
    private static final double MAX_DEADLINE_MILLIS = 3_000;

    /** Time (ms) before the end of the drain at which open requests are failed, so that their responses are sent. */
    private static final long FAIL_OPEN_REQUESTS_MILLIS = 100;

    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final ClientListener listener;
    private final BalancerDriver driver;
    private final ProxyLog log;
    private final double longestDeadlineMillis;
    private final CountDownLatch ended = new CountDownLatch(1);
    private long acceptUntilNanos;
    private long drainUntilNanos;
    private volatile boolean drained;

    /** Creates a controller; {@code longestDeadlineMillis} is the longest deadline of the request classes. */
    DrainController(
            EventLoop loop,
            ClientListener listener,
            BalancerDriver driver,
            ProxyLog log,
            double longestDeadlineMillis) {
        this.loop = loop;
        this.listener = listener;
        this.driver = driver;
        this.log = log;
        this.longestDeadlineMillis = longestDeadlineMillis;
    }

    /**
     * Starts the drain. With a successor this proxy stops accepting at once, and its responses close their connections,
     * so that the clients connect to the successor.
     */
    void start(boolean hasSuccessor) {
        assert loop.inEventLoop();
        long nowNanos = System.nanoTime();
        acceptUntilNanos = nowNanos + (hasSuccessor ? MIGRATION_MILLIS : ACCEPT_MILLIS) * NANOS_PER_MILLI;
        double drainMillis = Math.min(longestDeadlineMillis, MAX_DEADLINE_MILLIS) + DRAIN_MARGIN_MILLIS;
        drainUntilNanos = nowNanos + (long) (drainMillis * NANOS_PER_MILLI);
        log.info("proxy: draining, successor=" + hasSuccessor);
        try {
            stopAccepting(hasSuccessor);
        } catch (RuntimeException | Error e) {
            logStepFailure(e);
        }
        poll();
    }

    private void stopAccepting(boolean hasSuccessor) {
        if (hasSuccessor) {
            listener.closeServerChannel();
            listener.requestClientMigration();
        } else {
            listener.drain();
        }
    }

    /** Logs the failure of a step. The drain continues, as one that doesn't end would lose all open requests. */
    private void logStepFailure(Throwable cause) {
        log.error("proxy: drain failed", cause);
    }

    private void poll() {
        long nowNanos = System.nanoTime();
        boolean isDone = false;
        try {
            isDone = runDueSteps(nowNanos);
        } catch (RuntimeException | Error e) {
            logStepFailure(e);
        }
        if (isDone || nowNanos >= drainUntilNanos) {
            end(isDone);
        } else {
            loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs the steps that are due at {@code nowNanos}; returns whether the drain is done. */
    private boolean runDueSteps(long nowNanos) {
        boolean hasStoppedAccepting = nowNanos >= acceptUntilNanos;
        if (hasStoppedAccepting) {
            // Closes connections that were accepted during the drain and are idle: a request on one of them could
            // arrive just as the process exits.
            listener.drain();
        }
        if (nowNanos >= drainUntilNanos - FAIL_OPEN_REQUESTS_MILLIS * NANOS_PER_MILLI) {
            driver.failOpenRequests();
        }
        return hasStoppedAccepting && !listener.isBusy() && isIdleAfterLastAccept();
    }

    private void end(boolean isDone) {
        log.info(isDone ? "proxy: drained" : "proxy: drain timed out");
        try {
            listener.closeServerChannel();
        } finally {
            drained = true;
            ended.countDown();
        }
    }

    /**
     * Closes the server channel, which first accepts the connections that arrived during a stall of the process;
     * returns whether these are idle, too.
     */
    private boolean isIdleAfterLastAccept() {
        listener.closeServerChannel();
        listener.drain();
        return !listener.isBusy();
    }

    /** Ends {@link #awaitEnd}: without its event loop no drain goes on. Any thread. */
    void onLoopEnded() {
        ended.countDown();
    }

    /**
     * Waits until the drain or the event loop has ended; an interrupt ends the wait.
     *
     * @return whether the drain has ended
     */
    boolean awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return drained;
    }
}
