package rillyard.balancer;

/** What a {@link Balancer} asks its proxy to do. The calls are made from within the balancer's event methods. */
public interface BalancerActions {
    /**
     * Starts an attempt. The attempts of a request are numbered 0, 1, 2 and so on in the order of the calls.
     *
     * @param giveUpAfterMillis ms for which its answer is waited for; 0 for as long as the request has
     * @param notAfterMillis time (ms) past which it must not be written any more, as a connection may take long to come up;
     *     infinite if the request may be executed whenever it reaches the host
     */
    void send(long request, long host, double giveUpAfterMillis, double notAfterMillis);

    /**
     * Gives the final answer that the request was rejected, and was not executed.
     *
     * @param retryAfterMillis ms after which the client should retry; 0 gives no advice
     */
    void reject(long request, double retryAfterMillis);

    /** Gives the final answer that the request failed, which promises nothing about its effect. */
    void fail(long request);

    /** Cancels an attempt, whose outcome is reported nonetheless. */
    void cancel(long request, int attempt);

    /** Asks for {@link Balancer#onTimer} with this token after {@code delayMillis}. */
    void scheduleTimer(double delayMillis, long token);

    /** Subscribes to changes of the endpoint list from now on. */
    void subscribe();

    /** Writes a line to the log for operators. */
    void log(String line);
}
