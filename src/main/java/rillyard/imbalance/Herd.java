package rillyard.imbalance;

import java.util.List;

/**
 * A host that got more than its share of first attempts, by more than chance explains. Times are microseconds.
 *
 * @param count first attempts that came to it
 * @param expected what its share of all first attempts would have been
 * @param probability of so many or more by chance, in one stretch of that length
 * @param proxies how many took part
 * @param allProxies how many sent anything then
 * @param before what the proxies may have had in common, the last before it first
 */
public record Herd(
        String host,
        long from,
        long until,
        int count,
        double expected,
        double probability,
        int proxies,
        int allProxies,
        List<TimelineEvent> before) {}
