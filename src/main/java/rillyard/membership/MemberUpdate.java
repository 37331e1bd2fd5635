package rillyard.membership;

/**
 * An update about a member's status, which members pass on to each other.
 *
 * @param identity the member
 * @param incarnation the incarnation of the member that the update is about
 * @param status the member's status
 * @param reporterId the id of the member that created the update, by which independent suspicions are counted
 */
public record MemberUpdate(MemberIdentity identity, Incarnation incarnation, MemberStatus status, int reporterId) {
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** Returns whether this update overrides another one about the same member. */
    boolean overrides(MemberUpdate other) {
        int order = incarnation.compareTo(other.incarnation);
        if (order == 0) {
            return status.compareTo(other.status) > 0;
        }
        return order > 0 && (status != MemberStatus.SUSPECT || other.status.isPresent());
    }

    /** Returns the reporter id of a name, 0 to 65535. */
    public static int reporterId(String name) {
        return (name.hashCode() * HASH_MULTIPLIER) >>> 16;
    }
}
