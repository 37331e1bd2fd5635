package rillyard.subset;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Assigns a subset of the hosts to each instance. Instances compute it from what all of them know, so that they agree
 * without coordination.
 */
public interface SubsettingStrategy {
    /**
     * Returns the subset of one instance.
     *
     * @param instance index of the instance, from 0 to {@code instances - 1}
     * @param instances number of instances, 1 or more
     * @param hosts numbers of the hosts, without duplicates, in any order
     * @param size number of hosts wanted, 0 or more
     * @return {@code size} hosts without duplicates, all hosts if there are fewer
     */
    List<Long> subsetOf(int instance, int instances, List<Long> hosts, int size);

    /** Returns the subsets of all instances in the order of their indexes, each as {@link #subsetOf} returns it. */
    default List<List<Long>> allSubsets(int instances, List<Long> hosts, int size) {
        return IntStream.range(0, instances)
                .mapToObj(instance -> subsetOf(instance, instances, hosts, size))
                .toList();
    }
}
