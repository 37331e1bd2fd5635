package rillyard.imbalance;

import java.util.List;

/**
 * A host that got more than its share of first attempts, by more than random choice explains. Times are microseconds.
 *
 * @param count first attempts that arrived at the host
 * @param expectedCount its share of all first attempts
 * @param probability of that many or more by random choice, in one interval of that length
 * @param proxies number of proxies that took part
 * @param activeProxies number of proxies that sent any request then
 * @param precedingEvents what the proxies may have had in common, the latest first
 */
public record Herd(
        String host,
        long from,
        long to,
        int count,
        double expectedCount,
        double probability,
        int proxies,
        int activeProxies,
        List<TimelineEvent> precedingEvents) {}
