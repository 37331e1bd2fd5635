package rillyard.membership;

/**
 * A belief that changed.
 *
 * @param at ms since this member's process started
 * @param now what is believed from then on
 * @param before what was believed, null where the member was not known
 * @param by who says so: the member itself, another's number as {@code #NUMBER}, or this member's clock
 */
public record MembershipEvent(double at, MemberUpdate now, MemberStatus before, String by) {}
