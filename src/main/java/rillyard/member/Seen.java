package rillyard.member;

/**
 * What is believed of a member.
 *
 * @param since ms since this process started
 * @param by whose word it is, as {@link Change#by}
 */
public record Seen(Update word, double since, String by) {}
