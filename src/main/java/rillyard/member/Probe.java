package rillyard.member;

/** One question to one member, and what came of it. */
final class Probe {
  final int sequence;
  final Card target;
  private final double helpAt;
  private final double overAt;
  private boolean helpAsked;
  int helpers;
  int nacks;
  boolean answered;

  /** {@code factor} stretches its times, where this member does not trust itself. */
  Probe(int sequence, Card target, double now, int factor, MemberSettings s) {
    this.sequence = sequence;
    this.target = target;
    this.helpAt = now + factor * s.timeout();
    this.overAt = now + factor * s.interval();
  }

  /** Whether others are to be asked now; true once. */
  boolean asksHelp(double now) {
    if (answered || helpAsked || now < helpAt) {
      return false;
    }
    helpAsked = true;
    return true;
  }

  String state(double now, int newest) {
    return " " + target.name() + (newest - sequence) + " " + (helpAt - now) + " " + (overAt - now) + helpAsked + helpers
        + nacks + answered;
  }

  boolean over(double now) {
    return now >= overAt;
  }
}
