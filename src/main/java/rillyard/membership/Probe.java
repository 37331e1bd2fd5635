package rillyard.membership;

/** The probe of one member in one protocol period, and its outcome so far. Not thread-safe. */
final class Probe {
    private final int sequence;
    private final MemberIdentity target;
    private final double indirectAt;
    private final double endsAt;
    private final double timeoutMillis;
    private double nextPingAt;
    private boolean indirectSent;
    private int helpers;
    private int nacks;
    private boolean acknowledged;

    /** Begins a probe; {@code healthFactor} stretches its times where this member does not trust itself. */
    Probe(int sequence, MemberIdentity target, double now, int healthFactor, MembershipSettings settings) {
        this.sequence = sequence;
        this.target = target;
        this.timeoutMillis = healthFactor * settings.probeTimeoutMillis();
        this.indirectAt = now + timeoutMillis;
        this.nextPingAt = indirectAt;
        this.endsAt = now + healthFactor * settings.probeIntervalMillis();
    }

    int sequence() {
        return sequence;
    }

    MemberIdentity target() {
        return target;
    }

    /**
     * Returns whether to ping the target once more, and schedules the next ping.
     *
     * <p>A second ping costs one datagram; in a lossy network without it so many members are suspected that their
     * updates displace each other.
     */
    boolean shouldPingAgain(double now) {
        if (acknowledged || now < nextPingAt) {
            return false;
        }
        nextPingAt = now + timeoutMillis;
        return true;
    }

    /** Returns whether to send indirect probes now; true once. */
    boolean shouldProbeIndirectly(double now) {
        if (acknowledged || indirectSent || now < indirectAt) {
            return false;
        }
        indirectSent = true;
        return true;
    }

    void onHelperAsked() {
        helpers++;
    }

    void onNack() {
        nacks++;
    }

    void onAck() {
        acknowledged = true;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    boolean isOver(double now) {
        return now >= endsAt;
    }

    /**
     * Returns by how much a failed probe lowers the local health (Lifeguard, 3.1): helpers that stay silent indicate
     * that this member is not heard itself, those that send a nack speak for it.
     */
    int healthPenalty() {
        return helpers == 0 ? 1 : Math.max(0, helpers - nacks);
    }

    /** Describes the state for the model checker, relative to the given time and sequence number. */
    String state(double now, int lastSequence) {
        return " " + target.name() + (lastSequence - sequence) + " " + (indirectAt - now) + " " + (endsAt - now) + " "
                + (nextPingAt - now) + indirectSent + helpers + nacks + acknowledged;
    }
}
