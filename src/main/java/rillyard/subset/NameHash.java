package rillyard.subset;

import net.openhft.hashing.LongHashFunction;

/** Hashes of names (XXH3) that are the same in every process of the fleet. */
public final class NameHash {
    private NameHash() {}

    /** Returns 32 bits of the name's hash. Two of 1,000 names share a hash in one of some 9,000 fleets. */
    public static int of(String name) {
        return (int) LongHashFunction.xx3().hashChars(name);
    }
}
