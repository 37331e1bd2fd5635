package rillyard.balancer;

/** What a {@link Balancer} asks its proxy to do. Calls are made from within the event methods. */
public interface BalancerActions {
    /**
     * Starts an attempt; attempts of a request are numbered 0, 1, 2 ... in the order of the calls.
     *
     * @param giveUpAfter ms for which its answer is waited for; 0 for as long as the request has
     * @param notAfter clock time (ms) past which it must not be written any more, as a connection may come up
     *     late: infinite where the request may run whenever it gets there
     */
    void send(long request, long host, double giveUpAfter, double notAfter);

    /** Final answer "no, and trying again does no harm"; {@code coolDown} 0 gives no advice. */
    void reject(long request, double coolDown);

    /** Final answer "failed", which promises nothing about the effect. */
    void fail(long request);

    /** Stops the wait for an attempt. */
    void cancel(long request, int attempt);

    /** Asks for {@link Balancer#onTimer} with this token after {@code delay} ms. */
    void scheduleTimer(double delay, long token);

    /** Asks discovery for changes from now on. */
    void subscribe();

    /** Writes a line for the people on call. */
    void log(String line);
}
