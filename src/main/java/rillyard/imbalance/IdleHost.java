package rillyard.imbalance;

/**
 * A host that got no request while requests queued at others, by more than random choice explains. Times are microseconds.
 *
 * @param requestsElsewhere requests that arrived at other hosts meanwhile
 * @param queuedElsewhere how many of these waited there, or were rejected
 * @param probability that the host gets none of them by random choice
 */
public record IdleHost(
        String host, long from, long to, int requestsElsewhere, int queuedElsewhere, double probability) {}
