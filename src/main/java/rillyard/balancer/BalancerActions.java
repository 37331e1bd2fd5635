package rillyard.balancer;

/**
 * The actions that a {@link Balancer} requests of its proxy. They are called from within the balancer's event methods.
 */
public interface BalancerActions {
    /**
     * Starts an attempt. The attempts of a request are numbered 0, 1, 2 and so on in the order of the calls.
     *
     * @param timeoutMillis time (ms) to wait for the response; 0 waits as long as the request has time
     * @param notAfterMillis time (ms) after which the attempt must not be written any more, as connecting may take
     *     long; infinite if the request may be executed whenever it reaches the host
     */
    void send(long requestId, long hostId, double timeoutMillis, double notAfterMillis);

    /**
     * Sends the final response that the request was rejected and not executed.
     *
     * @param retryAfterMillis time (ms) after which the client should retry; 0 for no advice
     */
    void reject(long requestId, double retryAfterMillis);

    /** Sends the final response that the request failed; it may or may not have been executed. */
    void fail(long requestId);

    /** Cancels an attempt. Its outcome is still reported. */
    void cancel(long requestId, int attempt);

    /** Schedules a call of {@link Balancer#onTimer} with this token after {@code delayMillis}. */
    void scheduleTimer(double delayMillis, long token);

    /** Subscribes to changes of the endpoint list from now on. */
    void subscribe();

    /** Writes a line to the operators' log. */
    void log(String line);
}
