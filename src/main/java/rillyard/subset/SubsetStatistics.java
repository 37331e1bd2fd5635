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
 * The statistics of a subsetting algorithm over a whole fleet.
 *
 * @param size number of hosts in the subset of an instance
 * @param minInstances minimum number of instances that use a host
 * @param maxInstances maximum number of instances that use a host
 * @param meanInstances mean number of instances that use a host
 * @param identicalNeighbours number of pairs of consecutive instances with identical subsets, which the loss of a host
 *     affects alike
 * @param meanSharedHosts mean number of hosts that two instances share, over pairs of all distances
 * @param movesPerHostRemoved number of hosts that all instances together add to their subsets when one host is removed,
 *     per instance that used the host; 1 is the minimum
 * @param movesPerInstanceAdded number of hosts that the other instances add to their subsets when one instance is
 *     added, per host of the added instance; 0 is the minimum
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
    /** Number of pairs of instances that are sampled for shared hosts. */
    private static final int SAMPLED_PAIRS = 4_000;

    /** A prime stride, so that the first instances of the sampled pairs are spread over the fleet. */
    private static final long PAIR_STRIDE = 7_919;

    /**
     * Computes the statistics from all subsets.
     *
     * @param instances number of instances, 1 or more
     * @param hosts number of hosts, 1 or more
     * @param size number of hosts in a subset, 1 or more
     */
    public static SubsetStatistics of(SubsettingStrategy strategy, int instances, int hosts, int size) {
        List<Long> allHosts = hosts(hosts);
        List<Set<Long>> subsets = subsets(strategy, instances, allHosts, size);
        Map<Long, Integer> instancesByHost = instancesByHost(subsets);
        List<Long> remaining = new ArrayList<>(allHosts);
        int instancesOfRemoved = instancesByHost.getOrDefault(remaining.remove(hosts / 2), 0);
        int movesOnRemoval = hosts == 1 ? 0 : moves(subsets, subsets(strategy, instances, remaining, size));
        int movesOnAddition = moves(subsets, subsets(strategy, instances + 1, allHosts, size));
        int actualSize = subsets.get(0).size();
        return new SubsetStatistics(
                actualSize,
                allHosts.stream()
                        .mapToInt(host -> instancesByHost.getOrDefault(host, 0))
                        .min()
                        .orElse(0),
                instancesByHost.values().stream()
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElse(0),
                (double) instances * actualSize / hosts,
                identicalNeighbours(subsets),
                meanSharedHosts(subsets),
                instancesOfRemoved == 0 ? 0 : (double) movesOnRemoval / instancesOfRemoved,
                (double) movesOnAddition / actualSize);
    }

    /** Returns the maximum number of instances that use a host, without computing the other statistics. */
    static int maxInstances(SubsettingStrategy strategy, int instances, int hosts, int size) {
        return Collections.max(instancesByHost(strategy.allSubsets(instances, hosts(hosts), size))
                .values());
    }

    private static List<Long> hosts(int count) {
        return LongStream.rangeClosed(1, count).boxed().toList();
    }

    /** Returns the number of instances by host, without hosts that no instance uses. */
    private static Map<Long, Integer> instancesByHost(List<? extends Collection<Long>> subsets) {
        Map<Long, Integer> instancesByHost = new HashMap<>();
        subsets.forEach(subset -> subset.forEach(host -> instancesByHost.merge(host, 1, Integer::sum)));
        return instancesByHost;
    }

    private static List<Set<Long>> subsets(SubsettingStrategy strategy, int instances, List<Long> hosts, int size) {
        return strategy.allSubsets(instances, hosts, size).stream()
                .<Set<Long>>map(HashSet::new)
                .toList();
    }

    /**
     * Returns the number of hosts that instances have in {@code after} but not in {@code before}, for the instances of
     * {@code before}.
     */
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
