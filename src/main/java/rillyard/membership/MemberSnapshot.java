package rillyard.membership;

/**
 * What is believed of a member.
 *
 * @param since ms since this process started
 * @param by whose word it is, as {@link MembershipEvent#by}
 */
public record MemberSnapshot(MemberUpdate word, double since, String by) {}
