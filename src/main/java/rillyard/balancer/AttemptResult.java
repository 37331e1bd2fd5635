package rillyard.balancer;

/**
 * The end of an attempt.
 *
 * @param attempt number of the attempt among those of its request, from 0
 * @param outcome how it ended
 * @param latencyMillis time (ms) from the send to the outcome
 * @param requestEnded whether the request needs no further attempt
 * @param report the load report that came with the answer, null without one
 */
public record AttemptResult(
        int attempt, AttemptOutcome outcome, double latencyMillis, boolean requestEnded, LoadReport report) {}
