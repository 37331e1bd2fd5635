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

/** The ways that were weighed; see {@code docs/design/many-instances.md}. */
public enum SubsettingAlgorithm implements SubsettingStrategy {
    /**
     * A stretch of the ring of hosts that begins at the instance's part of it, as the aperture of Finagle has
     * it. Even, but neighbours share nearly all, and one instance more moves the beginnings of all.
     */
    RING {
        @Override
        public List<Long> of(int instance, int instances, List<Long> hosts, int size) {
            List<Long> ring = ordered(hosts, 0);
            int start = (int) ((long) instance * ring.size() / instances);
            return slice(ring, start, size);
        }
    },

    /**
     * Deterministic subsetting as in chapter 20 of <i>Site Reliability Engineering</i> (2016): a lot of as
     * many instances as there are whole subsets, each lot with the hosts shuffled anew. Even but for the hosts that
     * a lot leaves over; one host less shuffles all of them anew.
     */
    SHUFFLED {
        @Override
        public List<Long> of(int instance, int instances, List<Long> hosts, int size) {
            int subsets = Math.max(1, hosts.size() / Math.max(1, size));
            List<Long> all = new ArrayList<>(hosts);
            all.sort(null);
            Collections.shuffle(all, new Random(instance / subsets)); // specified, so alike on every machine
            return slice(all, instance % subsets * size, size);
        }
    },

    /**
     * Hosts in an order of the lot's own that comes from each host's number alone, dealt out without a gap:
     * instances of a lot take one stretch after the other, and the last of them goes on at the beginning. So a
     * host that goes or comes moves each stretch of a lot by one at most.
     */
    LOTS {
        @Override
        public List<Long> of(int instance, int instances, List<Long> hosts, int size) {
            if (hosts.isEmpty()) {
                return List.of();
            }
            int members = Math.max(1, (hosts.size() + size - 1) / Math.max(1, size));
            List<Long> order = ordered(hosts, 1 + instance / members);
            return slice(order, (int) ((long) (instance % members) * size % hosts.size()), size);
        }
    },

    /** The hosts with the highest numbers of chance, of the instance's own: the least moves, uneven loads. */
    RENDEZVOUS {
        @Override
        public List<Long> of(int instance, int instances, List<Long> hosts, int size) {
            return slice(ordered(hosts, -1L - instance), 0, size);
        }
    },

    /**
     * The same with a bound: a host that has a tenth more than the mean takes no further instance (after
     * Mirrokni, Thorup, Zadimoghaddam 2018). Each instance has to compute all before it.
     */
    BOUNDED {
        @Override
        public List<Long> of(int instance, int instances, List<Long> hosts, int size) {
            return layOut(instance + 1, instances, hosts, size).get(instance);
        }

        @Override
        public List<List<Long>> all(int instances, List<Long> hosts, int size) {
            return layOut(instances, instances, hosts, size);
        }

        /** The subsets of the first {@code upTo} instances. */
        private List<List<Long>> layOut(int upTo, int instances, List<Long> hosts, int size) {
            int most = bound(instances, hosts.size(), size);
            Map<Long, Integer> load = new HashMap<>();
            List<List<Long>> out = new ArrayList<>(upTo);
            for (int i = 0; i < upTo; i++) {
                Set<Long> own = new LinkedHashSet<>();
                List<Long> order = ordered(hosts, -1L - i);
                order.stream()
                        .filter(h -> load.getOrDefault(h, 0) < most)
                        .limit(size)
                        .forEach(own::add);
                for (Long h : order) { // the bound leaves too few at the very end
                    if (own.size() < Math.min(size, hosts.size())) {
                        own.add(h);
                    }
                }
                own.forEach(h -> load.merge(h, 1, Integer::sum));
                out.add(List.copyOf(own));
            }
            return out;
        }

        private int bound(int instances, int hosts, int size) {
            return hosts == 0 ? 0 : (int) Math.ceil(1.1 * instances * Math.min(size, hosts) / hosts);
        }
    };

    /** The name as it is given on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The hosts in an order that {@code salt} picks and that doesn't depend on which others there are. */
    private static List<Long> ordered(List<Long> hosts, long salt) {
        List<Long> out = new ArrayList<>(hosts);
        out.sort(Comparator.comparingLong((Long h) -> SplitMix64.hash(salt, h))
                .thenComparing(Comparator.naturalOrder()));
        return out;
    }

    private static List<Long> slice(List<Long> ring, int start, int size) {
        int n = Math.min(size, ring.size());
        List<Long> out = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            out.add(ring.get((start + i) % ring.size()));
        }
        return out;
    }
}
