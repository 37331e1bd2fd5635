package rillyard.membership;

/**
 * The state of a member as known to this process.
 *
 * @param update the current update about the member
 * @param sinceMillis when its status or incarnation last changed, in milliseconds since this process started
 * @param source the source of that change, as {@link MembershipEvent#source}
 */
public record MemberSnapshot(MemberUpdate update, double sinceMillis, String source) {}
