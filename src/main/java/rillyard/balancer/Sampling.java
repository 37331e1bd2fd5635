package rillyard.balancer;

/** Computes probabilities of random samples without replacement. */
final class Sampling {
    private Sampling() {}

    /**
     * Returns the probability C(part, drawn) / C(all, drawn) that all {@code drawn} elements of a random sample of
     * {@code all} elements lie in a given part of {@code part} elements.
     */
    static double probabilityWithin(int part, int all, int drawn) {
        double probability = 1;
        for (int index = 0; index < drawn; index++) {
            probability *= Math.max(0, (double) (part - index) / (all - index));
        }
        return probability;
    }
}
