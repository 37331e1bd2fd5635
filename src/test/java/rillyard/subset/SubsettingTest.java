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

class SubsettingTest {
    private static List<Long> hosts(int n) {
        return LongStream.range(0, n).map(i -> SplitMix64.hash(9, i)).boxed().toList();
    }

    @ParameterizedTest
    @EnumSource(SubsettingAlgorithm.class)
    void everyInstanceHasItsNumberOfHostsAndNoneTwice(SubsettingAlgorithm way) {
        for (int n : new int[] {0, 1, 2, 7, 20}) {
            for (int size : new int[] {0, 1, 2, 3, 19, 20, 21}) {
                for (int i = 0; i < 13; i++) {
                    List<Long> got = way.of(i, 13, hosts(n), size);
                    assertThat(got)
                            .as("%s, %d of %d", way, size, n)
                            .hasSize(Math.min(size, n))
                            .doesNotHaveDuplicates();
                    assertThat(hosts(n)).containsAll(got);
                }
            }
        }
    }

    /** Nobody coordinates: what one knows in another order must come to the same. */
    @ParameterizedTest
    @EnumSource(SubsettingAlgorithm.class)
    void theOrderInWhichHostsWereHeardOfDoesNotCount(SubsettingAlgorithm way) {
        List<Long> mixed = new ArrayList<>(hosts(20));
        Collections.shuffle(mixed, new Random(3));
        for (int i = 0; i < 30; i++) {
            assertThat(new HashSet<>(way.of(i, 30, mixed, 4))).isEqualTo(new HashSet<>(way.of(i, 30, hosts(20), 4)));
        }
    }

    @Test
    void lotsAreNearlyEvenWhereChanceIsNot() {
        SubsetStatistics lots = SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 3);
        SubsetStatistics chance = SubsetStatistics.of(SubsettingAlgorithm.RENDEZVOUS, 2_000, 20, 3);
        assertThat(lots.mean()).isEqualTo(300);
        assertThat(lots.most() - lots.least()).isLessThan((chance.most() - chance.least()) / 2);
        assertThat(lots.most()).isLessThan(330);
        assertThat(lots.least()).isGreaterThan(270);
        assertThat(lots.twins()).isZero();
    }

    @Test
    void aHostThatGoesMovesFewInLotsAndAllWhereLotsAreShuffled() {
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.RENDEZVOUS, 2_000, 20, 3)
                        .movedByHost())
                .isEqualTo(1);
        double lots =
                SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 3).movedByHost();
        double shuffled =
                SubsetStatistics.of(SubsettingAlgorithm.SHUFFLED, 2_000, 20, 3).movedByHost();
        assertThat(lots).isBetween(1.0, 8.0);
        assertThat(shuffled).isGreaterThan(2 * lots);
    }

    @Test
    void oneInstanceMoreMovesNobodyInLotsAndManyOnTheRing() {
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 200, 10).movedByInstance())
                .isZero();
        assertThat(SubsetStatistics.of(SubsettingAlgorithm.RING, 2_000, 200, 10).movedByInstance())
                .isGreaterThan(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = SubsettingAlgorithm.class,
            names = {"RING", "LOTS", "BOUNDED"})
    void theBoundOfAHostIsKept(SubsettingAlgorithm way) throws Exception {
        SubsetSize size = SubsetSize.largest(way, 300, 20, 400, 4, 0.1);
        assertThat(size.connections()).isLessThanOrEqualTo(360);
        assertThat(size.hosts()).isGreaterThanOrEqualTo(SubsetSize.LEAST);
        int more = SubsetStatistics.of(way, 300, 20, size.hosts() + 1).most();
        assertThat(4 * more).as("one host more would be too much").isGreaterThan(360);
    }

    @Test
    void whatHostsCannotBearIsSaidWithWhatWouldDo() {
        assertThatThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, 100, 1, 0.1))
                .isInstanceOf(SubsetSize.TooManyException.class)
                .hasMessageContaining("90 of 100 may be used: expected a cap of ");
        assertThatIllegalArgumentException()
                .isThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 0, 20, 100, 1, 0.1));
        assertThatIllegalArgumentException()
                .isThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 1, 20, 100, 1, 1));
    }

    @Test
    void theCapOfACapThatJustDoesIsTheOneSaid() throws Exception {
        int needed = SubsetStatistics.of(SubsettingAlgorithm.LOTS, 2_000, 20, 2).most();
        assertThat(SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, needed, 1, 0)
                        .connections())
                .isEqualTo(needed);
        assertThatThrownBy(() -> SubsetSize.largest(SubsettingAlgorithm.LOTS, 2_000, 20, needed - 1, 1, 0))
                .hasMessageContaining("a cap of " + needed + " or more");
    }
}
