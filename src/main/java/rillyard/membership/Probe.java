package rillyard.membership;

/** One question to one member, and what came of it. */
final class Probe {
    final int sequence;
    final MemberIdentity target;
    private final double helpAt;
    private final double overAt;
    private final double pause;
    private double againAt;
    private boolean helpAsked;
    int helpers;
    int nacks;
    boolean answered;

    /** {@code factor} stretches its times, where this member does not trust itself. */
    Probe(int sequence, MemberIdentity target, double now, int factor, MembershipSettings settings) {
        this.sequence = sequence;
        this.target = target;
        this.pause = factor * settings.probeTimeoutMillis();
        this.helpAt = now + pause;
        this.againAt = helpAt;
        this.overAt = now + factor * settings.probeIntervalMillis();
    }

    /**
     * Whether the target is to be asked once more, besides the helpers. Guards against a lossy network in which
     * so many are suspected that words about them crowd each other out: a second question costs one datagram.
     */
    boolean asksAgain(double now) {
        if (answered || now < againAt) {
            return false;
        }
        againAt = now + pause;
        return true;
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
        return " " + target.name() + (newest - sequence) + " " + (helpAt - now) + " " + (overAt - now) + " "
                + (againAt - now) + helpAsked + helpers + nacks + answered;
    }

    boolean over(double now) {
        return now >= overAt;
    }
}
