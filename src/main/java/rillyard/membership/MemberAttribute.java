package rillyard.membership;

import java.util.Arrays;

/** A small value that a member publishes about itself, for other parts of the program. Immutable. */
public final class MemberAttribute {
    /** Largest kind. */
    public static final int MAX_KIND = 15;

    /** Bytes of the longest value. */
    public static final int MAX_VALUE = 32;

    /** Longest time, which has 16 bits of 100 ms in datagrams. */
    public static final double MAX_MILLIS = 6_553_500;

    /** Largest version, which has 32 bits in datagrams. */
    static final long MAX_VERSION = 0xFFFFFFFFL;

    /** Bytes of the shortest attribute in a datagram. */
    static final int MIN_SIZE = 18;

    private static final int FIXED_SIZE = 17;

    private final String owner;
    private final long ownerStartedAtMillis;
    private final int kind;
    private final long version;
    private final double ageMillis;
    private final double ttlMillis;
    private final byte[] value;

    /**
     * Creates an attribute.
     *
     * @param owner the name of the member that publishes it; only it creates versions
     * @param ownerStartedAtMillis the Unix time of the start of the owner's process, with which the attribute ends
     * @param kind what it is about, 0 to {@link #MAX_KIND}; an owner has one attribute of a kind
     * @param version the owner's count of versions; the greatest holds
     * @param ageMillis the time since the owner published it, 0 to {@link #MAX_MILLIS}
     * @param ttlMillis the time from then until it expires, 0 to {@link #MAX_MILLIS}
     * @param value at most {@link #MAX_VALUE} bytes; empty if the owner has withdrawn it
     * @throws IllegalArgumentException if one of these is out of its range
     */
    public MemberAttribute(
            String owner,
            long ownerStartedAtMillis,
            int kind,
            long version,
            double ageMillis,
            double ttlMillis,
            byte[] value) {
        if (!MemberIdentity.isName(owner)
                || kind < 0
                || kind > MAX_KIND
                || value.length > MAX_VALUE
                || version < 0
                || version > MAX_VERSION
                || !isTime(ageMillis)
                || !isTime(ttlMillis)) {
            throw new IllegalArgumentException("no attribute: kind " + kind + " of '" + owner + "', " + value.length
                    + " bytes, expected a kind to " + MAX_KIND + ", a name and " + MAX_VALUE + " bytes at most");
        }
        this.owner = owner;
        this.ownerStartedAtMillis = ownerStartedAtMillis;
        this.kind = kind;
        this.version = version;
        this.ageMillis = ageMillis;
        this.ttlMillis = ttlMillis;
        this.value = value.clone();
    }

    private static boolean isTime(double millis) {
        return millis >= 0 && millis <= MAX_MILLIS;
    }

    /** Returns the name of the member that published it. */
    public String owner() {
        return owner;
    }

    /** Returns the Unix time of the start of the owner's process. */
    public long ownerStartedAtMillis() {
        return ownerStartedAtMillis;
    }

    /** Returns the kind. */
    public int kind() {
        return kind;
    }

    /** Returns the owner's count of versions. */
    public long version() {
        return version;
    }

    /** Returns the time since the owner published it. */
    public double ageMillis() {
        return ageMillis;
    }

    /** Returns the time from its publication until it expires. */
    public double ttlMillis() {
        return ttlMillis;
    }

    /** Returns a copy of the value; empty if the owner has withdrawn it. */
    public byte[] value() {
        return value.clone();
    }

    /** Returns whether the value is that of another attribute. */
    boolean hasValueOf(MemberAttribute other) {
        return Arrays.equals(value, other.value);
    }

    /** Returns whether the owner has withdrawn it. */
    boolean isWithdrawn() {
        return value.length == 0;
    }

    /** Returns this version with another age. */
    MemberAttribute withAge(double newAgeMillis) {
        return new MemberAttribute(owner, ownerStartedAtMillis, kind, version, newAgeMillis, ttlMillis, value);
    }

    /** Returns the number of bytes in a datagram. */
    int size() {
        return FIXED_SIZE + owner.length() + value.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MemberAttribute attribute
                && owner.equals(attribute.owner)
                && ownerStartedAtMillis == attribute.ownerStartedAtMillis
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
