package rillyard.imbalance;

import org.apache.commons.statistics.distribution.BinomialDistribution;

/** Probabilities of a random choice in which each request goes to a host by the host's share alone. */
final class MultinomialBaseline {
    private MultinomialBaseline() {}

    /** Returns the probability that {@code count} or more of {@code all} requests go to a host with this share. */
    static double probabilityOfAtLeast(int count, int all, double share) {
        if (count <= 0) {
            return 1;
        }
        if (count > all || share <= 0) {
            return 0;
        }
        return BinomialDistribution.of(all, share).survivalProbability(count - 1);
    }

    /** Returns the probability that none of {@code all} requests goes to a host with this share. */
    static double probabilityOfNone(int all, double share) {
        return Math.pow(1 - share, all);
    }
}
