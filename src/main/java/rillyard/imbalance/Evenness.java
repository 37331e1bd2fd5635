package rillyard.imbalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;

/**
 * How even the load of the hosts was in one window. A host's load is relative to its share: 1 is what it should have had.
 *
 * @param requests requests to hosts that were available throughout the window
 * @param hosts number of these hosts
 * @param maxOverMean greatest load over the mean
 * @param minOverMean least load over the mean
 * @param coefficientOfVariation 0 for an even load
 * @param jainIndex 1 for an even load, 1/hosts for all at one host (Jain, Chiu and Hawe, 1984)
 * @param expectedVariation mean coefficient of variation of a random choice
 */
public record Evenness(
        int requests,
        int hosts,
        double maxOverMean,
        double minOverMean,
        double coefficientOfVariation,
        double jainIndex,
        double expectedVariation) {

    /** Computes the evenness of counts by host, with shares that add up to 1. Without any request all numbers are NaN. */
    static Evenness of(Map<String, Integer> counts, Map<String, Double> shares) {
        int requests = 0;
        for (String host : shares.keySet()) {
            requests += counts.getOrDefault(host, 0);
        }
        int hosts = shares.size();
        if (requests == 0) {
            return new Evenness(0, hosts, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        }
        List<Double> loads = new ArrayList<>();
        double randomVariance = 0;
        for (Map.Entry<String, Double> entry : shares.entrySet()) {
            double share = entry.getValue();
            double expected = requests * share;
            loads.add(counts.getOrDefault(entry.getKey(), 0) / expected);
            randomVariance += (1 - share) / expected / hosts; // of a binomial, over the square of its mean
        }
        return of(requests, loads, randomVariance);
    }

    private static Evenness of(int requests, List<Double> loads, double randomVariance) {
        double[] values = loads.stream().mapToDouble(Double::doubleValue).toArray();
        double mean = DoubleStream.of(values).average().orElse(Double.NaN);
        double squares = DoubleStream.of(values).map(load -> load * load).sum();
        double variance = Math.max(0, squares / values.length - mean * mean);
        return new Evenness(
                requests,
                values.length,
                DoubleStream.of(values).max().orElse(Double.NaN) / mean,
                DoubleStream.of(values).min().orElse(Double.NaN) / mean,
                Math.sqrt(variance) / mean,
                values.length * mean * mean / squares,
                Math.sqrt(randomVariance));
    }
}
