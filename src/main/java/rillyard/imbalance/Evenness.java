package rillyard.imbalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * How even the load of the hosts was in one window, each host's load counted in shares of its own: 1 is what it should have.
 *
 * @param requests all that came to hosts that were there for all of the window
 * @param most largest over mean
 * @param least least over mean
 * @param variation coefficient of variation, 0 for even
 * @param jain Jain's index, 1 for even, 1/hosts for all at one (Jain, Chiu, Hawe 1984)
 * @param chanceVariation the coefficient of variation that chance would give in the mean
 */
public record Evenness(
        int requests, int hosts, double most, double least, double variation, double jain, double chanceVariation) {

    /** Of counts by host, with shares that sum up to 1; NaN in all where nothing came. */
    static Evenness of(Map<String, Integer> counts, Map<String, Double> shares) {
        int all = 0;
        for (String h : shares.keySet()) {
            all += counts.getOrDefault(h, 0);
        }
        List<Double> loads = new ArrayList<>();
        double chance = 0;
        int n = shares.size();
        for (Map.Entry<String, Double> e : shares.entrySet()) {
            double expected = all * e.getValue();
            loads.add(counts.getOrDefault(e.getKey(), 0) / expected);
            chance += (1 - e.getValue()) / expected / n; // variance of a binomial over the square of its mean
        }
        if (all == 0) {
            return new Evenness(0, n, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        }
        double mean = loads.stream().mapToDouble(d -> d).average().orElse(Double.NaN);
        double squares = loads.stream().mapToDouble(d -> d * d).sum();
        double variance = Math.max(0, squares / n - mean * mean);
        return new Evenness(
                all,
                n,
                loads.stream().mapToDouble(d -> d).max().orElse(Double.NaN) / mean,
                loads.stream().mapToDouble(d -> d).min().orElse(Double.NaN) / mean,
                Math.sqrt(variance) / mean,
                n * mean * mean / squares,
                Math.sqrt(chance));
    }
}
