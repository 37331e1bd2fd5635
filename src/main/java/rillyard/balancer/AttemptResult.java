package rillyard.balancer;

/**
 * The result of an attempt that has ended.
 *
 * @param attempt number of the attempt among those of its request, from 0
 * @param outcome how the attempt ended
 * @param latencyMillis time (ms) from the send to the outcome
 * @param requestEnded whether the request needs no further attempt
 * @param report the load report that came with the response, null if there was none
 */
public record AttemptResult(
        int attempt, AttemptOutcome outcome, double latencyMillis, boolean requestEnded, LoadReport report) {}
