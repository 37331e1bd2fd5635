package rillyard.membership;

/**
 * A change of a member's status.
 *
 * @param atMillis milliseconds since this member's process started
 * @param update the update that changed the status
 * @param previousStatus the status before, or null if the member was not known
 * @param source the member's name if it sent the update itself, {@code #ID} with the reporter id if others passed it
 *     on, or what this member detected: {@code a probe} failed, or {@code its time} to refute is over
 */
public record MembershipEvent(double atMillis, MemberUpdate update, MemberStatus previousStatus, String source) {}
