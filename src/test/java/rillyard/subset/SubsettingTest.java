package rillyard.subset;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import rillyard.balancer.SplitMix64;

/** Guards against subsets of the wrong size, an uneven load on hosts, needless moves and exceeded connection limits. */
class SubsettingTest {
    private static List<Long> hosts(int hostCount) {
        return LongStream.range(0, hostCount)
                .map(i -> SplitMix64.hash(9, i))
                .boxed()
                .toList();
    }

    @ParameterizedTest
    @EnumSource(SubsettingAlgorithm.class)
    void subsetsHaveRequestedSizeWithoutDuplicates(SubsettingAlgorithm algorithm) {
        for (int hostCount : new int[] {0, 1, 2, 7, 20}) {
            for (int size : new int[] {0, 1, 2, 3, 19, 20, 21}) {
                for (int i = 0; i < 13; i++) {
                    List<Long> subset = algorithm.subsetOf(i, 13, hosts(hostCount), size);
                    assertThat(subset)
                            .as("%s, %d of %d", algorithm, size, hostCount)
                            .hasSize(Math.min(size, hostCount))
                            .doesNotHaveDuplicates();
                    assertThat(hosts(hostCount)).containsAll(subset);
                }
            }
        }
    }

    /** Instances don't coordinate, so an instance that has the hosts in another order must compute the same subset. */
    @ParameterizedTest
    @EnumSource(SubsettingAlgorithm.class)
    void subsetIsIndependentOfHostOrder(SubsettingAlgorithm algorithm) {
        List<Long> shuffledHosts = new ArrayList<>(hosts(20));
        Collections.shuffle(shuffledHosts, new Random(3));
        for (int i = 0; i < 30; i++) {
            assertThat(new HashSet<>(algorithm.subsetOf(i, 30, shuffledHosts, 4)))
                    .isEqualTo(new HashSet<>(algorithm.subsetOf(i, 30, hosts(20), 4)));
        }
    }

    @Test
    void lotsAreMoreEvenThanRendezvous() {
        SubsetStatistics lots = SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 3);
        SubsetStatistics rendezvous = SubsetStatistics.of(SubsettingAlgorithm.RENDEZVOUS, 2_000, 20, 3);
        assertThat(lots.meanInstances()).isEqualTo(300);
        assertThat(lots.maxInstances() - lots.minInstances())
                .isLessThan((rendezvous.maxInstances() - rendezvous.minInstances()) / 2);
        assertThat(lots.maxInstances()).isLessThan(330);
        assertThat(lots.minInstances()).isGreaterThan(270);
        assertThat(lots.identicalNeighbours()).isZero();
    }

    @Test
    void removedHostMovesFewInLotsAndAllWhenShuffled() {
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.RENDEZVOUS, 2_000, 20, 3)
                        .movesPerHostRemoved())
                .isEqualTo(1);
        double lots =
                SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 3).movesPerHostRemoved();
        double shuffled =
                SubsetStatistics.of(SubsettingAlgorithm.SHUFFLED, 2_000, 20, 3).movesPerHostRemoved();
        assertThat(lots).isBetween(1.0, 8.0);
        assertThat(shuffled).isGreaterThan(2 * lots);
    }

    @Test
    void addedInstanceMovesNoneInLotsAndManyOnRing() {
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 200, 10).movesPerInstanceAdded())
                .isZero();
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.RING, 2_000, 200, 10).movesPerInstanceAdded())
                .isGreaterThan(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = SubsettingAlgorithm.class,
            names = {"RING", "LOTS", "BOUNDED"})
    void connectionLimitOfHostIsKept(SubsettingAlgorithm algorithm) throws Exception {
        SubsetSize size = SubsetSize.largest(algorithm, 300, 20, 400, 4, 0.1);
        assertThat(size.maxConnections()).isLessThanOrEqualTo(360);
        assertThat(size.hosts()).isGreaterThanOrEqualTo(SubsetSize.MIN_HOSTS);
        int maxInstancesWithOneMoreHost =
                SubsetStatistics.of(algorithm, 300, 20, size.hosts() + 1).maxInstances();
        assertThat(4 * maxInstancesWithOneMoreHost)
                .as("one host more would be too much")
                .isGreaterThan(360);
    }

    @Test
    void impossibleLimitIsReportedWithSufficientOne() {
        assertThatThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, 100, 1, 0.1))
                .isInstanceOf(SubsetSize.TooManyConnectionsException.class)
                .hasMessageContaining("90 of 100 may be used: expected a cap of ");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 0, 20, 100, 1, 0.1));
        assertThatIllegalArgumentException()
                .isThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 1, 20, 100, 1, 1));
    }

    @Test
    void reportedLimitIsLeastSufficientOne() throws Exception {
        int needed = SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 2).maxInstances();
        assertThat(SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, needed, 1, 0)
                        .maxConnections())
                .isEqualTo(needed);
        assertThatThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, needed - 1, 1, 0))
                .hasMessageContaining("a cap of " + needed + " or more");
    }
}
