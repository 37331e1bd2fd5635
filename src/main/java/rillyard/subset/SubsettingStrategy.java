package rillyard.subset;

import java.util.List;
import java.util.stream.IntStream;

/** Assigns a subset of the hosts to each instance, from what all instances know, so that they agree without coordination. */
public interface SubsettingStrategy {
    /**
     * Returns the hosts of one instance.
     *
     * @param instance its index, from 0 to {@code instances - 1}
     * @param instances number of instances, 1 or more
     * @param hosts numbers of the hosts, without duplicates, in any order
     * @param size number of hosts wanted, 0 or more
     * @return so many hosts without duplicates, all hosts if there are fewer
     */
    List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size);

    /** Returns the hosts of each instance in the order of their indexes, as {@link #subsetOf} does. */
    default List<List<Long>> allSubsets(int instances, List<Long> hosts, int size) {
        return IntStream.range(0, instances)
                .mapToObj(instance -> subsetOf(instance, instances, hosts, size))
                .toList();
    }
}
