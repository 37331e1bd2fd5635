package rillyard.membership;

import java.util.Arrays;

/** A small value that a member publishes about itself to the whole fleet, for use by other packages. Immutable. */
public final class MemberAttribute {
    /** Largest kind. */
    public static final int MAX_KIND = 15;

    /** Maximum length of a value in bytes. */
    public static final int MAX_VALUE = 32;

    /** Maximum age and time to live; datagrams have 16 bits for each, in units of 100 ms. */
    public static final double MAX_MILLIS = 6_553_500;

    /** Largest version; datagrams have 32 bits for it. */
    static final long MAX_VERSION = 0xFFFFFFFFL;

    /** Minimum size of an attribute in a datagram, in bytes. */
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
     * @param owner the name of the member that publishes it; only that member creates versions
     * @param ownerStartedAtMillis the Unix time of the start of the owner's process, with which the attribute ends
     * @param kind the kind of its content, 0 to {@link #MAX_KIND}; an owner has at most one attribute of a kind
     * @param version the number of the version, counted by the owner; the greatest is valid
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
        if (!MemberIdentity.isValidName(owner)
                || kind < 0
                || kind > MAX_KIND
                || value.length > MAX_VALUE
                || version < 0
                || version > MAX_VERSION
                || !isTime(ageMillis)
                || !isTime(ttlMillis)) {
            throw new IllegalArgumentException("invalid attribute: kind " + kind + " of '" + owner + "', "
                    + value.length + " bytes, expected a kind up to " + MAX_KIND + ", a name and " + MAX_VALUE
                    + " bytes at most");
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

    /** Returns the number of the version, counted by the owner. */
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

    /** Returns whether another attribute has the same value. */
    boolean hasValueOf(MemberAttribute other) {
        return Arrays.equals(value, other.value);
    }

    /** Returns whether the owner has withdrawn it. */
    boolean isWithdrawn() {
        return value.length == 0;
    }

    /** Returns a copy with another age. */
    MemberAttribute withAge(double newAgeMillis) {
        return new MemberAttribute(owner, ownerStartedAtMillis, kind, version, newAgeMillis, ttlMillis, value);
    }

    /** Returns the size in a datagram, in bytes. */
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
