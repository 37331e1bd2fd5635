package rillyard.membership;

/**
 * One word about a member.
 *
 * @param identity who it is
 * @param incarnation which of its lives, and which word of it, this is about
 * @param status what it is held for
 * @param by a number for who first said so, made from its name; independent words are counted by it
 */
public record MemberUpdate(MemberIdentity identity, Incarnation incarnation, MemberStatus status, int by) {
    /** Whether this word holds against another about the same member. */
    boolean overrides(MemberUpdate other) {
        int c = incarnation.compareTo(other.incarnation);
        return c > 0
                ? status != MemberStatus.SUSPECT || other.status.present()
                : c == 0 && status.compareTo(other.status) > 0;
    }

    /** The number for a name, 0 to 65535. */
    public static int by(String name) {
        int h = name.hashCode() * 0x9E3779B1;
        return h >>> 16;
    }
}
