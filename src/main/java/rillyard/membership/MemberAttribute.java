package rillyard.membership;

import java.util.Arrays;

/**
 * Something small that a member says of itself beside being there, for parts of the program that others hold.
 *
 * @param owner its name; nobody else makes facts in it
 * @param start of the owner's process: a fact ends with its process
 * @param kind what it is about, 0 to {@link #MAX_KIND}; one fact of a kind and owner
 * @param version the owner's count of its facts of that kind; the greatest holds
 * @param ageMillis ms since the owner said it, 0 to {@link #MAX_MS}
 * @param ttlMillis ms from then until it ends by itself, 0 to {@link #MAX_MS}
 * @param value of at most {@link #MAX_VALUE} bytes; none where the owner takes it back
 */
public record MemberAttribute(
        String owner, long start, int kind, long version, double ageMillis, double ttlMillis, byte[] value) {
    public static final int MAX_KIND = 15;
    public static final int MAX_VALUE = 32;

    /** Times have 16 bits of 100 ms on the wire. */
    public static final double MAX_MS = 6_553_500;

    /** Versions have 32 bits on the wire. */
    static final long MAX_VERSION = 0xFFFFFFFFL;

    public MemberAttribute {
        if (!MemberIdentity.isName(owner)
                || kind < 0
                || kind > MAX_KIND
                || value.length > MAX_VALUE
                || version < 0
                || version > MAX_VERSION
                || !(ageMillis >= 0 && ageMillis <= MAX_MS)
                || !(ttlMillis >= 0 && ttlMillis <= MAX_MS)) {
            throw new IllegalArgumentException("no fact: kind " + kind + " of '" + owner + "', " + value.length
                    + " bytes, expected a kind to " + MAX_KIND + ", a name and " + MAX_VALUE + " bytes at most");
        }
        value = value.clone();
    }

    @Override
    public byte[] value() {
        return value.clone();
    }

    /** Whether its owner has taken it back. */
    boolean withdrawn() {
        return value.length == 0;
    }

    /** The bytes of the shortest. */
    static final int LEAST_SIZE = 18;

    int size() {
        return 17 + owner.length() + value.length;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof MemberAttribute attribute
                && owner.equals(attribute.owner)
                && start == attribute.start
                && kind == attribute.kind
                && version == attribute.version
                && ageMillis == attribute.ageMillis
                && ttlMillis == attribute.ttlMillis
                && Arrays.equals(value, attribute.value);
    }

    @Override
    public int hashCode() {
        return owner.hashCode() * 31 + kind * 17 + Long.hashCode(version);
    }

    @Override
    public String toString() {
        return owner + "/" + kind + " v" + version + " age " + ageMillis + " of " + ttlMillis + " "
                + Arrays.toString(value);
    }
}
