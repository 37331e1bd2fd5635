package rillyard.subset;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A way to give each instance its hosts. Every instance computes its own, from what all of them know, and
 * comes to the same result.
 */
public interface SubsettingStrategy {
    /**
     * The hosts of one instance.
     *
     * @param instance its number, from 0 to {@code instances - 1}
     * @param instances how many there are, 1 or more
     * @param hosts numbers of the hosts, none twice, in any order
     * @param size how many it is to have, 0 or more; all of them if there are fewer
     * @return so many hosts, none twice
     */
    List<Long> of(int instance, int instances, List<Long> hosts, int size);

    /** The hosts of each instance, in the order of their numbers, as {@link #of} gives them. */
    default List<List<Long>> all(int instances, List<Long> hosts, int size) {
        return IntStream.range(0, instances)
                .mapToObj(i -> of(i, instances, hosts, size))
                .toList();
    }
}
