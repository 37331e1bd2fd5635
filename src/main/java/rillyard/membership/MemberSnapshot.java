package rillyard.membership;

/**
 * What is known of a member.
 *
 * @param update the update that holds
 * @param sinceMillis since when it holds, in milliseconds since this process started
 * @param source who reported it, as {@link MembershipEvent#source}
 */
public record MemberSnapshot(MemberUpdate update, double sinceMillis, String source) {}
