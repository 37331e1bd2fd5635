package rillyard.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Lets a command finish on SIGINT and SIGTERM: a callback is run, and the JVM's shutdown waits until the command has
 * completed, for at most 20 s. Otherwise the JVM would exit before request logs are complete.
 *
 * <p>The shutdown does not wait for the end of the command's thread: that thread calls {@link System#exit}, which
 * blocks as long as a shutdown runs.
 */
final class GracefulShutdown {
    private static final long MAX_WAIT_MS = 20_000;

    private final CountDownLatch completed = new CountDownLatch(1);
    private final Thread hook;
    private volatile boolean signalled;

    /**
     * Installs the shutdown hook, which waits for {@link #complete}.
     *
     * @param onSignal run when the signal arrives, on a separate thread
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

    /** Reports that the command has completed: a waiting shutdown proceeds, or the hook is removed. */
    void complete() {
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
