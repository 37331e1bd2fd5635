package rillyard.trial;

import java.util.Locale;

/**
 * Something done to processes, or to the datagrams between them.
 *
 * @param at ms from the start of the timetable
 * @param on which processes; for datagrams those that send them
 * @param to for datagrams those that they are for; else unused
 * @param oneWay for datagrams whether those the other way are left alone
 * @param lasts ms; 0 for what happens at one instant
 * @param share of the datagrams that are lost, or doubled
 * @param lateMs the longest that datagrams are held, each for a time of its own
 */
public record Fault(double at, Kind kind, Group on, Group to, boolean oneWay, double lasts, double share, double lateMs) {
  /** What is done. */
  public enum Kind {
    KILL, TERM, STOP, RESTART, LOSE, DOUBLE, DELAY;

    boolean between() {
      return this == LOSE || this == DOUBLE || this == DELAY;
    }
  }

  /** Whether it touches a datagram of this process to that one. */
  boolean touches(TrialMember from, TrialMember to) {
    return kind.between()
        && (on.has(from) && this.to.has(to) || !oneWay && on.has(to) && this.to.has(from));
  }

  @Override
  public String toString() {
    String what = kind.name().toLowerCase(Locale.ROOT) + " " + on;
    if (kind.between()) {
      what += (oneWay ? " to " : " with ") + to
          + (kind == Kind.DELAY ? " by up to " + lateMs + " ms" : " share " + share);
    }
    return String.format(Locale.ROOT, "%.1f s: %s%s", at / 1_000, what,
        lasts > 0 ? String.format(Locale.ROOT, " for %.1f s", lasts / 1_000) : "");
  }
}
