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
     * A window on the ring of hosts that starts at the instance's part of it, like the deterministic aperture of Finagle.
     * Even, but neighbours share nearly all hosts, and one more instance moves all windows.
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
     * Deterministic subsetting as in chapter 20 of <i>Site Reliability Engineering</i> (2016): rounds of as many instances as
     * there are complete subsets, each round with the hosts shuffled anew. Even but for the hosts that a round leaves over;
     * one host less reshuffles all rounds.
     */
    SHUFFLED {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            int subsets = Math.max(1, hosts.size() / Math.max(1, size));
            List<Long> all = new ArrayList<>(hosts);
            all.sort(null);
            Collections.shuffle(all, new Random(instance / subsets)); // its sequence is specified
            return slice(all, instance % subsets * size, size);
        }
    },

    /**
     * Rounds of instances as well, each with an order of its own that follows from each host's number alone: the instances of
     * a round take consecutive windows, and the last of them wraps around. A host that is added or removed moves each window
     * by one at most.
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

    /** Rendezvous hashing: the hosts with the least hashes with the instance. The fewest moves, but uneven. */
    RENDEZVOUS {
        @Override
        public List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size) {
            return slice(ordered(hosts, -1L - instance), 0, size);
        }
    },

    /**
     * Rendezvous hashing with bounded loads: a host that has a tenth more than the mean takes no further instance (after
     * Mirrokni, Thorup and Zadimoghaddam, 2018). Each instance has to compute all before it.
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
            int maxInstances = bound(instances, hosts.size(), size);
            Map<Long, Integer> load = new HashMap<>();
            List<List<Long>> subsets = new ArrayList<>(upTo);
            for (int instance = 0; instance < upTo; instance++) {
                Set<Long> own = new LinkedHashSet<>();
                List<Long> order = ordered(hosts, -1L - instance);
                order.stream()
                        .filter(host -> load.getOrDefault(host, 0) < maxInstances)
                        .limit(size)
                        .forEach(own::add);
                for (Long host : order) { // the last instances may find too few hosts below the bound
                    if (own.size() < Math.min(size, hosts.size())) {
                        own.add(host);
                    }
                }
                own.forEach(host -> load.merge(host, 1, Integer::sum));
                subsets.add(List.copyOf(own));
            }
            return subsets;
        }

        private int bound(int instances, int hosts, int size) {
            return hosts == 0 ? 0 : (int) Math.ceil(LOAD_FACTOR * instances * Math.min(size, hosts) / hosts);
        }
    };

    /** The greatest number of instances of a host in {@link #BOUNDED}, relative to the mean. */
    private static final double LOAD_FACTOR = 1.1;

    /** Returns the name as it is given on the command line. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the hosts in a pseudorandom order, in which the order of two hosts does not depend on the others. */
    private static List<Long> ordered(List<Long> hosts, long salt) {
        List<Long> order = new ArrayList<>(hosts);
        order.sort(Comparator.comparingLong((Long host) -> SplitMix64.hash(salt, host))
                .thenComparing(Comparator.naturalOrder()));
        return order;
    }

    /** Returns {@code size} elements from {@code start} on, at most all, with wrap-around. */
    private static List<Long> slice(List<Long> ring, int start, int size) {
        int count = Math.min(size, ring.size());
        List<Long> slice = new ArrayList<>(count);
        for (int offset = 0; offset < count; offset++) {
            slice.add(ring.get((start + offset) % ring.size()));
        }
        return slice;
    }
}
