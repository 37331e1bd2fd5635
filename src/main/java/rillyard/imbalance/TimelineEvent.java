package rillyard.imbalance;

/**
 * An event that several proxies may have reacted to.
 *
 * @param at microseconds
 * @param host the host it is about, empty for all
 * @param description text for people
 */
public record TimelineEvent(long at, String host, String description) {}
