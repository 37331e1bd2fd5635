package rillyard.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.logging.ProxyLog;

/**
 * Drains a proxy: new connections are accepted for a while, what was received is answered, and then the proxy has ended.
 *
 * <p>Confined to the event loop, except {@link #awaitEnd} and {@link #markEnded}.
 */
final class DrainController {
    /** How long (ms) connections are accepted; after SIGTERM new ones come for 0.4 s at most. */
    private static final long ACCEPT_MILLIS = 800;

    /** How long (ms) idle connections stay open for a request whose response tells clients to move to a successor. */
    private static final long MIGRATION_MILLIS = 400;

    /** SIGKILL comes no sooner than 0.7 s after the longest deadline; the process needs part of that to end (ms). */
    private static final long DRAIN_MARGIN_MILLIS = 550;

    /** The longest deadline (ms) for which SIGKILL waits. */
    private static final double MAX_DEADLINE_MILLIS = 3_000;

    /** So long (ms) before the end of its time a drain fails open requests, for their responses to get out. */
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

    /** Creates a controller; {@code longestDeadlineMillis} is that of the request classes. */
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

    /** Starts the drain; with a successor this proxy accepts no more, and its clients are told to move. */
    void start(boolean hasSuccessor) {
        assert loop.inEventLoop();
        long now = System.nanoTime();
        acceptUntilNanos = now + (hasSuccessor ? MIGRATION_MILLIS : ACCEPT_MILLIS) * NANOS_PER_MILLI;
        double drainMillis = Math.min(longestDeadlineMillis, MAX_DEADLINE_MILLIS) + DRAIN_MARGIN_MILLIS;
        drainUntilNanos = now + (long) (drainMillis * NANOS_PER_MILLI);
        log.info("proxy: draining, successor=" + hasSuccessor);
        try {
            stopAccepting(hasSuccessor);
        } catch (RuntimeException | Error e) {
            onFailed(e);
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

    /** A step of the drain has thrown. The next one goes on, as a drain that does not end costs all open requests. */
    private void onFailed(Throwable cause) {
        log.error("proxy: drain failed", cause);
    }

    private void poll() {
        long now = System.nanoTime();
        boolean isDone = false;
        try {
            isDone = drainFurther(now);
        } catch (RuntimeException | Error e) {
            onFailed(e);
        }
        if (isDone || now >= drainUntilNanos) {
            end(isDone);
        } else {
            loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes what steps are due by now; returns whether nothing is left to do. */
    private boolean drainFurther(long now) {
        boolean hasStoppedAccepting = now >= acceptUntilNanos;
        if (hasStoppedAccepting) {
            // Ends connections that are new since the drain began and idle so far: a request on one of them could
            // come in the moment in which the process ends.
            listener.drain();
        }
        if (now >= drainUntilNanos - FAIL_OPEN_REQUESTS_MILLIS * NANOS_PER_MILLI) {
            driver.failOpenRequests();
        }
        return hasStoppedAccepting && !listener.isBusy() && hasNothingToAccept();
    }

    private void end(boolean isDone) {
        log.info(isDone ? "proxy: drained" : "proxy: drain timed out");
        try {
            listener.closeServerChannel();
        } finally {
            markEnded();
        }
    }

    /** Accepts what came while the process stalled and waits unaccepted; returns whether that is idle, too. */
    private boolean hasNothingToAccept() {
        listener.closeServerChannel();
        listener.drain();
        return !listener.isBusy();
    }

    /** The proxy has ended. Any thread. */
    void markEnded() {
        ended.countDown();
    }

    /** Waits until the drain is done, or the proxy was stopped; an interrupt ends the wait. */
    void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
