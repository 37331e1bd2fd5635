package rillyard.membership;

/**
 * A change of a member's status.
 *
 * @param atMillis milliseconds since this member's process started
 * @param update the update that holds from then on
 * @param previousStatus the status before, or null if the member was not known
 * @param source who reported it: the member's name, another's number as {@code #NUMBER}, or what this member found
 */
public record MembershipEvent(double atMillis, MemberUpdate update, MemberStatus previousStatus, String source) {}
