package rillyard.spread.measure;

/**
 * Something that proxies may have had in common.
 *
 * @param at microseconds
 * @param host whom it is about; empty for all
 * @param what in words
 */
public record Mark(long at, String host, String what) {}
