package rillyard.cli;

/**
 * Has SIGINT and SIGTERM end a command in order: what is to be done first is done, then the process
 * goes. Without it the JVM ends while request logs lack their last lines.
 */
final class GracefulShutdown {
    private static final long MAX_WAIT_MS = 20_000;

    private final Thread main = Thread.currentThread();
    private final Thread hook;
    private volatile boolean signalled;

    /** {@code first} is run at the signal, on a thread of its own; then the command is waited for. */
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

    /** The command has done all that it had to; a signal is of no more interest. */
    void cancel() {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the signal came, and waits for this thread to end
        }
    }

    boolean isSignalled() {
        return signalled;
    }
}
