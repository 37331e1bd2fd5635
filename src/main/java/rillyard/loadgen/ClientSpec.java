package rillyard.loadgen;

/**
 * How clients behave.
 *
 * @param count how many there are
 * @param skew how unlike their rates are: client k asks in proportion to 1 / k^skew (Zipf); 0 for alike
 * @param retries how often a request is tried again, at most
 * @param attempts how often it is sent at most, sends for a connection that had gone included
 * @param backoffMillis the wait before a retry
 * @param backoffFactor factor by which that wait grows from retry to retry; 1 for none
 * @param minTimeoutShare an attempt is given up after a share of the deadline that is drawn from here ...
 * @param maxTimeoutShare ... to here
 * @param announcesTimeout whether {@code X-Timeout-Ms} says when an attempt is given up; else it says what is
 *     left of the deadline, and the client leaves before it
 * @param abandonShare share of attempts that are given up at any time before, unannounced
 * @param retryAfterShare share of requests whose client heeds {@code Retry-After}
 * @param maxRetryAfterMillis the longest wait that is heeded
 * @param graceMillis how long past the announced time a client waits for the answer it is owed
 * @param idleMillis a connection that has stood idle for so long is closed by its client
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
