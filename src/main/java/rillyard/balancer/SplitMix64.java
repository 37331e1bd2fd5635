package rillyard.balancer;

/** The mixing functions of SplitMix64 (Steele, Lea and Flood, 2014), which spread adjacent numbers over all 64 bits. */
public final class SplitMix64 {
    /** The increment of SplitMix64: 2^64 divided by the golden ratio, made odd. */
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private SplitMix64() {}

    /** Returns a hash of two numbers; the order of the arguments matters. */
    public static long hash(long first, long second) {
        return mix(mix(first + GOLDEN_GAMMA) ^ (second * GOLDEN_GAMMA));
    }

    /**
     * Returns a number that puts hosts with adjacent ids into a pseudorandom order; it omits the last round of {@link
     * #hash}.
     */
    static long ringPosition(long id) {
        long mixed = firstRound(id * GOLDEN_GAMMA);
        return mixed ^ (mixed >>> 27);
    }

    private static long mix(long value) {
        long mixed = firstRound(value);
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    private static long firstRound(long value) {
        return (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    }
}
