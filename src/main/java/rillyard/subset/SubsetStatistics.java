package rillyard.subset;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * Statistics of a subsetting algorithm over a whole fleet.
 *
 * @param size hosts of an instance
 * @param minInstances instances of the host that has the fewest
 * @param maxInstances instances of the host that has the most
 * @param meanInstances mean number of instances of a host
 * @param identicalNeighbours pairs of consecutive instances with identical subsets, which a lost host hits alike
 * @param meanSharedHosts mean number of hosts that two instances share, over pairs of all distances
 * @param movesPerHostRemoved hosts that all instances together newly use when one host is removed, per instance it had; 1
 *     is the least
 * @param movesPerInstanceAdded hosts that the other instances newly use when one instance is added, per host of it; 0 is
 *     the least
 */
public record SubsetStatistics(
        int size,
        int minInstances,
        int maxInstances,
        double meanInstances,
        int identicalNeighbours,
        double meanSharedHosts,
        double movesPerHostRemoved,
        double movesPerInstanceAdded) {
    /** Pairs of instances that are sampled for shared hosts. */
    private static final int SAMPLED_PAIRS = 4_000;

    /** A prime stride, so that the sampled pairs begin all over the fleet. */
    private static final long PAIR_STRIDE = 7_919;

    /**
     * Computes the statistics from all subsets.
     *
     * @param instances 1 or more
     * @param hosts 1 or more
     * @param size 1 or more
     */
    public static SubsetStatistics of(SubsettingStrategy strategy, int instances, int hosts, int size) {
        List<Long> allHosts = hosts(hosts);
        List<Set<Long>> subsets = subsets(strategy, instances, allHosts, size);
        Map<Long, Integer> load = load(subsets);
        List<Long> remaining = new ArrayList<>(allHosts);
        int vacated = load.getOrDefault(remaining.remove(hosts / 2), 0);
        int movesOfHost = hosts == 1 ? 0 : moves(subsets, subsets(strategy, instances, remaining, size));
        int movesOfInstance = moves(subsets, subsets(strategy, instances + 1, allHosts, size));
        int actualSize = subsets.get(0).size();
        return new SubsetStatistics(
                actualSize,
                allHosts.stream()
                        .mapToInt(host -> load.getOrDefault(host, 0))
                        .min()
                        .orElse(0),
                load.values().stream().mapToInt(Integer::intValue).max().orElse(0),
                (double) instances * actualSize / hosts,
                identicalNeighbours(subsets),
                meanSharedHosts(subsets),
                vacated == 0 ? 0 : (double) movesOfHost / vacated,
                (double) movesOfInstance / actualSize);
    }

    /** Returns the greatest number of instances of a host, without the other statistics. */
    static int maxInstances(SubsettingStrategy strategy, int instances, int hosts, int size) {
        return Collections.max(
                load(strategy.allSubsets(instances, hosts(hosts), size)).values());
    }

    private static List<Long> hosts(int count) {
        return LongStream.rangeClosed(1, count).boxed().toList();
    }

    /** Returns the number of instances by host, without hosts that have none. */
    private static Map<Long, Integer> load(List<? extends Collection<Long>> subsets) {
        Map<Long, Integer> load = new HashMap<>();
        subsets.forEach(subset -> subset.forEach(host -> load.merge(host, 1, Integer::sum)));
        return load;
    }

    private static List<Set<Long>> subsets(SubsettingStrategy strategy, int instances, List<Long> hosts, int size) {
        return strategy.allSubsets(instances, hosts, size).stream()
                .<Set<Long>>map(HashSet::new)
                .toList();
    }

    /** Returns how many hosts the instances of {@code before} have only afterwards. */
    private static int moves(List<Set<Long>> before, List<Set<Long>> after) {
        int moves = 0;
        for (int instance = 0; instance < before.size(); instance++) {
            for (Long host : after.get(instance)) {
                moves += before.get(instance).contains(host) ? 0 : 1;
            }
        }
        return moves;
    }

    private static int identicalNeighbours(List<Set<Long>> subsets) {
        int count = 0;
        for (int instance = 1; instance < subsets.size(); instance++) {
            count += subsets.get(instance).equals(subsets.get(instance - 1)) ? 1 : 0;
        }
        return count;
    }

    private static double meanSharedHosts(List<Set<Long>> subsets) {
        int instances = subsets.size();
        if (instances < 2) {
            return 0;
        }
        long shared = 0;
        for (int pair = 0; pair < SAMPLED_PAIRS; pair++) {
            int first = (int) (pair * PAIR_STRIDE % instances);
            int second = (first + 1 + pair % (instances - 1)) % instances;
            Set<Long> other = subsets.get(second);
            for (Long host : subsets.get(first)) {
                shared += other.contains(host) ? 1 : 0;
            }
        }
        return (double) shared / SAMPLED_PAIRS;
    }
}
