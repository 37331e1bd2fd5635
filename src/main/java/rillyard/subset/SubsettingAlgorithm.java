package rillyard.subset;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import rillyard.balancer.SplitMix64;

/** The subsetting algorithms that were compared; {@code docs/design/many-instances.md} has the results. */
public enum SubsettingAlgorithm implements SubsettingStrategy {
    /**
     * A window on the ring of hosts that starts at the instance's fraction of the ring, like the deterministic aperture
     * of Finagle. The load is even, but neighbours share nearly all hosts, and one more instance moves all windows.
     */
    RING {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            List<Long> ring = ordered(hosts, 0);
            int start = (int) ((long) instance * ring.size() / instances);
            return slice(ring, start, size);
        }
    },

    /**
     * Deterministic subsetting as in chapter 20 of <i>Site Reliability Engineering</i> (2016): each round has as many
     * instances as there are complete subsets and shuffles the hosts anew. The load is even but for the hosts that a
     * round leaves over. Removing one host reshuffles all rounds.
     */
    SHUFFLED {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            int subsets = Math.max(1, hosts.size() / Math.max(1, size));
            List<Long> all = new ArrayList<>(hosts);
            all.sort(null);
            Collections.shuffle(all, new Random(instance / subsets)); // a specified sequence, the same everywhere
            return slice(all, instance % subsets * size, size);
        }
    },

    /**
     * Rounds of instances as in {@link #SHUFFLED}, each with its own order, in which a host's place depends on a hash
     * of its number only. The instances of a round take consecutive windows, and the last window wraps around. Adding
     * or removing a host moves each window by at most one host.
     */
    LOTS {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            if (hosts.isEmpty()) {
                return List.of();
            }
            int roundSize = Math.max(1, (hosts.size() + size - 1) / Math.max(1, size));
            List<Long> order = ordered(hosts, 1 + instance / roundSize);
            return slice(order, (int) ((long) (instance % roundSize) * size % hosts.size()), size);
        }
    },

    /**
     * Rendezvous hashing: each instance uses the hosts with the smallest hashes of instance and host. It has the fewest
     * moves, but an uneven load.
     */
    RENDEZVOUS {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            return slice(ordered(hosts, -1L - instance), 0, size);
        }
    },

    /**
     * Rendezvous hashing with bounded loads: a host with a tenth more instances than the mean gets no further one
     * (Mirrokni, Thorup and Zadimoghaddam, 2018). An instance has to compute the subsets of all instances before it.
     */
    BOUNDED {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            return assign(instance + 1, instances, hosts, size).get(instance);
        }

        @Override
        public List<List<Long>> allSubsets(int instances, List<Long> hosts, int size) {
            return assign(instances, instances, hosts, size);
        }

        /** Returns the subsets of the first {@code upTo} instances. */
        private List<List<Long>> assign(int upTo, int instances, List<Long> hosts, int size) {
            int maxInstances = maxInstancesPerHost(instances, hosts.size(), size);
            Map<Long, Integer> instanceCounts = new HashMap<>();
            List<List<Long>> subsets = new ArrayList<>(upTo);
            for (int instance = 0; instance < upTo; instance++) {
                Set<Long> subset = new LinkedHashSet<>();
                List<Long> order = ordered(hosts, -1L - instance);
                order.stream()
                        .filter(host -> instanceCounts.getOrDefault(host, 0) < maxInstances)
                        .limit(size)
                        .forEach(subset::add);
                for (Long host : order) { // the last instances may find too few hosts below the maximum
                    if (subset.size() < Math.min(size, hosts.size())) {
                        subset.add(host);
                    }
                }
                subset.forEach(host -> instanceCounts.merge(host, 1, Integer::sum));
                subsets.add(List.copyOf(subset));
            }
            return subsets;
        }

        private int maxInstancesPerHost(int instances, int hosts, int size) {
            return hosts == 0 ? 0 : (int) Math.ceil(LOAD_FACTOR * instances * Math.min(size, hosts) / hosts);
        }
    };

    /** Maximum number of instances of a host in {@link #BOUNDED}, relative to the mean. */
    private static final double LOAD_FACTOR = 1.1;

    /** Returns the name used on the command line. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the hosts in a pseudorandom order, in which the order of two hosts doesn't depend on the others. */
    private static List<Long> ordered(List<Long> hosts, long salt) {
        List<Long> order = new ArrayList<>(hosts);
        order.sort(Comparator.comparingLong((Long host) -> SplitMix64.hash(salt, host))
                .thenComparing(Comparator.naturalOrder()));
        return order;
    }

    /**
     * Returns {@code size} elements from index {@code start} on, wrapping around at the end; all elements if there are
     * fewer.
     */
    private static List<Long> slice(List<Long> ring, int start, int size) {
        int count = Math.min(size, ring.size());
        List<Long> slice = new ArrayList<>(count);
        for (int offset = 0; offset < count; offset++) {
            slice.add(ring.get((start + offset) % ring.size()));
        }
        return slice;
    }
}
