package rillyard.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Lets a command finish on SIGINT and SIGTERM: a callback is run, and the JVM's shutdown waits until the command has
 * completed. Without it the JVM would exit before request logs are complete.
 *
 * <p>It does not wait for the command's thread to end: that thread calls {@link System#exit}, which blocks for as long as
 * a shutdown runs.
 */
final class GracefulShutdown {
    private static final long MAX_WAIT_MS = 20_000;

    private final CountDownLatch completed = new CountDownLatch(1);
    private final Thread hook;
    private volatile boolean signalled;

    /**
     * Installs the shutdown hook, which waits for {@link #cancel}.
     *
     * @param onSignal run at the signal, on a thread of its own
     */
    GracefulShutdown(Runnable onSignal) {
        hook = new Thread(
                () -> {
                    signalled = true;
                    onSignal.run();
                    try {
                        completed.await(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "ending");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Ends the wait of a shutdown, or removes the hook, as the command has completed. */
    void cancel() {
        completed.countDown();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the shutdown has begun
        }
    }

    /** Returns whether a signal arrived. */
    boolean isSignalled() {
        return signalled;
    }
}
