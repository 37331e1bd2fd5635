package rillyard.imbalance;

/**
 * A host that got nothing for a while in which others queued, by more than chance explains. Times are microseconds.
 *
 * @param missed first attempts and others that went elsewhere meanwhile
 * @param queued of these how many waited there, or were turned away
 * @param probability that none came to it by chance
 */
public record IdleHost(String host, long from, long until, int missed, int queued, double probability) {}
