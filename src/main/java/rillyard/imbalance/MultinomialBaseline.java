package rillyard.imbalance;

import org.apache.commons.statistics.distribution.BinomialDistribution;

/** What pure chance would give where each request goes to a host by its share alone. */
final class MultinomialBaseline {
    private MultinomialBaseline() {}

    /** The probability that so many, or more, of {@code all} go to a host of this share. */
    static double atLeast(int count, int all, double share) {
        if (count <= 0) {
            return 1;
        }
        return count > all || share <= 0
                ? 0
                : BinomialDistribution.of(all, share).survivalProbability(count - 1);
    }

    /** The probability that none of {@code all} goes to a host of this share. */
    static double none(int all, double share) {
        return Math.pow(1 - share, all);
    }
}
