package rillyard.imbalance;

/**
 * Something that proxies may have had in common.
 *
 * @param at microseconds
 * @param host whom it is about; empty for all
 * @param what in words
 */
public record TimelineEvent(long at, String host, String what) {}
