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
 * What a way of subsetting comes to for a whole fleet.
 *
 * @param size hosts that an instance has
 * @param least instances of the host that has the fewest
 * @param most instances of the host that has the most
 * @param mean instances a host
 * @param twins pairs of neighbours in number that share all hosts: one lost host hits both alike
 * @param shared hosts that two instances share on the mean, over pairs of all distances
 * @param movedByHost hosts that all instances together take up anew when one host goes, for each place that
 *     it leaves empty; 1 is the least
 * @param movedByInstance hosts that the others take up anew when one instance more comes, for each host that
 *     it takes; 0 is the least
 */
public record SubsetStatistics(
        int size,
        int least,
        int most,
        double mean,
        int twins,
        double shared,
        double movedByHost,
        double movedByInstance) {
    /** Pairs that are looked at for what two instances share. */
    private static final int PAIRS = 4_000;

    /**
     * Works them out by laying out every subset.
     *
     * @param instances 1 or more
     * @param hosts 1 or more
     * @param size 1 or more
     */
    public static SubsetStatistics of(SubsettingStrategy way, int instances, int hosts, int size) {
        List<Long> all = hosts(hosts);
        List<Set<Long>> now = layOut(way, instances, all, size);
        Map<Long, Integer> load = load(now);
        List<Long> fewer = new ArrayList<>(all);
        Long gone = fewer.remove(hosts / 2);
        int empty = load.getOrDefault(gone, 0);
        int byHost = hosts == 1 ? 0 : taken(now, layOut(way, instances, fewer, size));
        int byInstance = taken(now, layOut(way, instances + 1, all, size));
        int places = now.get(0).size();
        return new SubsetStatistics(
                places,
                all.stream().mapToInt(h -> load.getOrDefault(h, 0)).min().orElse(0),
                load.values().stream().mapToInt(n -> n).max().orElse(0),
                (double) instances * places / hosts,
                twins(now),
                shared(now),
                empty == 0 ? 0 : (double) byHost / empty,
                (double) byInstance / places);
    }

    /** Instances of the host that has the most, without the rest of the figures. */
    static int most(SubsettingStrategy way, int instances, int hosts, int size) {
        return Collections.max(load(way.all(instances, hosts(hosts), size)).values());
    }

    private static List<Long> hosts(int n) {
        return LongStream.rangeClosed(1, n).boxed().toList();
    }

    private static Map<Long, Integer> load(List<? extends Collection<Long>> subsets) {
        Map<Long, Integer> load = new HashMap<>();
        subsets.forEach(s -> s.forEach(h -> load.merge(h, 1, Integer::sum)));
        return load;
    }

    private static List<Set<Long>> layOut(SubsettingStrategy way, int instances, List<Long> hosts, int size) {
        return way.all(instances, hosts, size).stream()
                .<Set<Long>>map(HashSet::new)
                .toList();
    }

    /** Hosts that instances have afterwards and did not have before, of those that were there before. */
    private static int taken(List<Set<Long>> before, List<Set<Long>> after) {
        int n = 0;
        for (int i = 0; i < before.size(); i++) {
            for (Long h : after.get(i)) {
                n += before.get(i).contains(h) ? 0 : 1;
            }
        }
        return n;
    }

    private static int twins(List<Set<Long>> subsets) {
        int n = 0;
        for (int i = 1; i < subsets.size(); i++) {
            n += subsets.get(i).equals(subsets.get(i - 1)) ? 1 : 0;
        }
        return n;
    }

    private static double shared(List<Set<Long>> subsets) {
        int n = subsets.size();
        if (n < 2) {
            return 0;
        }
        long sum = 0;
        for (int i = 0; i < PAIRS; i++) {
            int a = (int) ((long) i * 7_919 % n);
            int b = (a + 1 + i % (n - 1)) % n;
            Set<Long> other = subsets.get(b);
            for (Long h : subsets.get(a)) {
                sum += other.contains(h) ? 1 : 0;
            }
        }
        return (double) sum / PAIRS;
    }
}
