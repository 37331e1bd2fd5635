package rillyard.membership;

/** The probe of one member in one protocol period, and its outcome so far. Not thread-safe. */
final class Probe {
    private final int sequence;
    private final MemberIdentity target;
    private final double indirectAtMillis;
    private final double endsAtMillis;
    private final double timeoutMillis;
    private double nextPingAtMillis;
    private boolean indirectSent;
    private int helpers;
    private int nacks;
    private boolean acknowledged;

    /** Begins a probe; {@code healthFactor} ({@link LocalHealth#factor}) multiplies its timeouts. */
    Probe(int sequence, MemberIdentity target, double nowMillis, int healthFactor, MembershipSettings settings) {
        this.sequence = sequence;
        this.target = target;
        this.timeoutMillis = healthFactor * settings.probeTimeoutMillis();
        this.indirectAtMillis = nowMillis + timeoutMillis;
        this.nextPingAtMillis = indirectAtMillis;
        this.endsAtMillis = nowMillis + healthFactor * settings.probeIntervalMillis();
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
     * <p>A second ping costs one datagram; without it so many members are suspected in a lossy network that their
     * updates displace each other.
     */
    boolean shouldPingAgain(double nowMillis) {
        if (acknowledged || nowMillis < nextPingAtMillis) {
            return false;
        }
        nextPingAtMillis = nowMillis + timeoutMillis;
        return true;
    }

    /** Returns whether to send indirect probes now; true at most once. */
    boolean shouldProbeIndirectly(double nowMillis) {
        if (acknowledged || indirectSent || nowMillis < indirectAtMillis) {
            return false;
        }
        indirectSent = true;
        return true;
    }

    void onPingRequested() {
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

    boolean isOver(double nowMillis) {
        return nowMillis >= endsAtMillis;
    }

    /**
     * Returns the points by which a failed probe lowers the local health (Lifeguard, 3.1): a helper without a nack
     * indicates that this member's own datagrams are lost or read late, a nack that they are not.
     */
    int healthPenalty() {
        return helpers == 0 ? 1 : Math.max(0, helpers - nacks);
    }

    /** Returns the state as text for the model checker, relative to the given time and sequence number. */
    String state(double nowMillis, int lastSequence) {
        return " " + target.name() + (lastSequence - sequence) + " " + (indirectAtMillis - nowMillis) + " "
                + (endsAtMillis - nowMillis) + " " + (nextPingAtMillis - nowMillis) + indirectSent + helpers + nacks
                + acknowledged;
    }
}
