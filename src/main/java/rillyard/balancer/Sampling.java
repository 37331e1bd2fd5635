package rillyard.balancer;

/** Probabilities of random samples without replacement. */
final class Sampling {
    private Sampling() {}

    /** Returns the probability C(part, drawn) / C(all, drawn) that a sample lies within a given part of all. */
    static double probabilityWithin(int part, int all, int drawn) {
        double probability = 1;
        for (int index = 0; index < drawn; index++) {
            probability *= Math.max(0, (double) (part - index) / (all - index));
        }
        return probability;
    }
}
