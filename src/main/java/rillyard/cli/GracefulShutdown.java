package rillyard.cli;

/**
 * Lets a command finish on SIGINT and SIGTERM: a callback is run, and the JVM's shutdown waits for the command's
 * thread. Without it the JVM would exit before request logs are complete.
 */
final class GracefulShutdown {
    private static final long MAX_WAIT_MS = 20_000;

    private final Thread main = Thread.currentThread();
    private final Thread hook;
    private volatile boolean signalled;

    /**
     * Installs the shutdown hook; the creating thread is the one that the shutdown waits for.
     *
     * @param onSignal run at the signal, on a thread of its own
     */
    GracefulShutdown(Runnable onSignal) {
        hook = new Thread(
                () -> {
                    signalled = true;
                    onSignal.run();
                    try {
                        main.join(MAX_WAIT_MS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "ending");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Removes the hook, as the command has completed. */
    void cancel() {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the shutdown has begun, and waits for this thread to end
        }
    }

    /** Returns whether a signal arrived. */
    boolean isSignalled() {
        return signalled;
    }
}
