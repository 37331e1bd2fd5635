package rillyard.loadgen;

/**
 * Behaviour of the simulated clients.
 *
 * @param count number of clients
 * @param skew exponent of the Zipf distribution of rates: client k sends in proportion to 1 / k^skew; 0 for equal
 *     rates
 * @param retries maximum number of retries of a request
 * @param attempts maximum number of attempts of a request, including resends after a stale connection
 * @param backoffMillis delay in milliseconds before the first retry
 * @param backoffFactor factor by which the delay grows with each retry; 1 for a constant delay
 * @param minTimeoutShare lower bound of the attempt timeout, as a share of the deadline; the timeout is drawn
 *     uniformly
 * @param maxTimeoutShare upper bound of the attempt timeout, as a share of the deadline
 * @param announcesTimeout whether {@code X-Timeout-Ms} carries the attempt timeout; otherwise it carries the
 *     remaining time to the deadline, and the client abandons the attempt earlier
 * @param abandonShare share of attempts that are abandoned at a random time before their timeout, unannounced
 * @param retryAfterShare share of requests whose client honors {@code Retry-After}
 * @param maxRetryAfterMillis upper bound in milliseconds on an honored {@code Retry-After}
 * @param graceMillis time in milliseconds that a client waits for a response after the announced timeout
 * @param idleMillis time in milliseconds after which a client closes an idle connection
 */
public record ClientSpec(
        int count,
        double skew,
        int retries,
        int attempts,
        double backoffMillis,
        double backoffFactor,
        double minTimeoutShare,
        double maxTimeoutShare,
        boolean announcesTimeout,
        double abandonShare,
        double retryAfterShare,
        double maxRetryAfterMillis,
        double graceMillis,
        double idleMillis) {}
