package rillyard.membership;

import java.util.random.RandomGenerator;
import rillyard.membership.IndirectProbes.IndirectProbe;
import rillyard.membership.Message.Kind;

/**
 * SWIM's failure detector with Lifeguard's extensions: probes one member in each protocol period, directly and through
 * helpers, and declares suspects dead that do not refute the suspicion in time. Not thread-safe.
 */
final class FailureDetector {
    /** Average number of members that ping a suspect in a period, besides its suspectors. */
    private static final double EXTRA_SUSPECT_PINGS = 4;

    /** Points by which a pause of this process lowers the local health. */
    private static final int PAUSE_PENALTY = 2;

    /** {@link MembershipEvent#source} of a suspicion after a failed probe; written to the event log. */
    private static final String SOURCE_PROBE = "a probe";

    /** {@link MembershipEvent#source} of a death after a suspicion timeout; written to the event log. */
    private static final String SOURCE_TIMEOUT = "its time";

    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final LocalHealth health;
    private final MemberTable members;
    private final UpdateProcessor updates;
    private final MessageSender sender;
    private final RandomGenerator random;
    private final IndirectProbes indirectProbes;
    private Probe probe;

    FailureDetector(
            MembershipSettings settings,
            LocalMember localMember,
            LocalHealth health,
            MemberTable members,
            UpdateProcessor updates,
            MessageSender sender,
            RandomGenerator random) {
        this.settings = settings;
        this.localMember = localMember;
        this.health = health;
        this.members = members;
        this.updates = updates;
        this.sender = sender;
        this.random = random;
        this.indirectProbes = new IndirectProbes(settings);
    }

    /** Performs the actions that are due: nacks, probes, pings to suspects and suspicion timeouts. */
    void onTick(double nowMillis) {
        for (IndirectProbe overdue : indirectProbes.removeOverdue(nowMillis)) {
            sender.send(Kind.NACK, overdue.sequence(), overdue.requesterAddress(), overdue.requester());
        }
        if (probe != null) {
            continueProbe(nowMillis);
        }
        if (probe == null) {
            beginProbe(nowMillis);
        }
        for (MemberState suspect : members.suspects()) {
            pingSuspect(suspect, nowMillis);
            expireSuspect(suspect, nowMillis);
        }
    }

    /**
     * Handles a pause of this process, during which acks and refutations could not be read.
     *
     * <p>Without this a process that resumes would declare members dead because of its own pause.
     */
    void onProcessPause(double pauseMillis) {
        probe = null;
        indirectProbes.clear();
        health.degrade(PAUSE_PENALTY);
        members.suspects().forEach(suspect -> suspect.excludePause(pauseMillis));
    }

    // --- this member's own probe

    private void beginProbe(double nowMillis) {
        MemberState member = members.nextToProbe();
        if (member != null) {
            MemberIdentity target = member.update().identity();
            probe = new Probe(sender.nextSequence(), target, nowMillis, health.factor(), settings);
            pingTarget();
        }
    }

    private void pingTarget() {
        MemberIdentity target = probe.target();
        sender.send(Kind.PING, probe.sequence(), target.address(), target.name());
    }

    private void continueProbe(double nowMillis) {
        if (probe.shouldProbeIndirectly(nowMillis)) {
            probeIndirectly();
        }
        if (probe.isOver(nowMillis)) {
            Probe ended = probe;
            probe = null;
            onProbeEnded(ended, nowMillis);
        } else if (probe.shouldPingAgain(nowMillis)) {
            pingTarget();
        }
    }

    private void probeIndirectly() {
        MemberIdentity target = probe.target();
        for (MemberState helper : members.pickRandom(settings.indirectProbes(), target.name(), false)) {
            probe.onPingRequested();
            sender.requestPing(probe.sequence(), helper.address(), target);
        }
    }

    private void onProbeEnded(Probe ended, double nowMillis) {
        if (ended.isAcknowledged()) {
            health.improve();
            return;
        }
        health.degrade(ended.healthPenalty());
        MemberState member = members.get(ended.target().name());
        if (member != null && member.status().isPresent()) {
            updates.apply(ownUpdate(member, MemberStatus.SUSPECT), nowMillis, SOURCE_PROBE);
        }
    }

    private MemberUpdate ownUpdate(MemberState member, MemberStatus status) {
        int reporterId = localMember.update().reporterId();
        return new MemberUpdate(member.update().identity(), member.update().incarnation(), status, reporterId);
    }

    // --- suspects

    /**
     * Pings a suspect once a period, so that it learns of the suspicion and its refutation arrives, even at high loss.
     *
     * <p>Its suspectors do so, some of the other members and, after half of the minimum suspicion timeout, every member
     * that has not received the refutation, as gossip misses about one member in several hundred.
     */
    private void pingSuspect(MemberState suspect, double nowMillis) {
        if (nowMillis < suspect.nextPingAtMillis()) {
            return;
        }
        suspect.scheduleNextPing(nowMillis + settings.probeIntervalMillis());
        boolean isOverdue = nowMillis - suspect.sinceMillis() >= settings.minSuspicionMillis(presentCount()) / 2;
        if (isOverdue
                || suspect.suspectors().contains(localMember.update().reporterId())
                || random.nextDouble() * presentCount() < EXTRA_SUSPECT_PINGS) {
            sender.ping(suspect.address(), suspect.name());
        }
    }

    private void expireSuspect(MemberState suspect, double nowMillis) {
        double timeoutMillis = SuspicionTimeout.millis(
                settings, presentCount(), suspect.suspectors().size());
        if (nowMillis - suspect.sinceMillis() >= timeoutMillis) {
            updates.override(suspect, ownUpdate(suspect, MemberStatus.DEAD), nowMillis, SOURCE_TIMEOUT);
        }
    }

    /** Returns the number of present members, this one included. */
    private int presentCount() {
        return members.presentCount() + 1;
    }

    // --- messages

    /** Handles the part of a message that concerns probes. */
    void onMessage(double nowMillis, MemberAddress from, Message message) {
        switch (message.kind()) {
            case PING -> onPing(from, message);
            case PING_REQUEST -> onPingRequest(nowMillis, from, message);
            case ACK -> onAck(message);
            case NACK -> {
                if (isForProbe(message)) {
                    probe.onNack();
                }
            }
            case GOSSIP -> {}
            default -> throw new AssertionError();
        }
    }

    private void onPing(MemberAddress from, Message message) {
        if (message.target().isEmpty() || localMember.hasName(message.target())) {
            sender.send(
                    Kind.ACK,
                    message.sequence(),
                    from,
                    message.sender().identity().name());
        }
    }

    private void onPingRequest(double nowMillis, MemberAddress from, Message message) {
        if (indirectProbes.hasCapacity() && !localMember.hasName(message.target())) {
            int sequence = sender.nextSequence();
            indirectProbes.begin(sequence, message, from, nowMillis);
            sender.send(Kind.PING, sequence, message.targetAddress(), message.target());
        }
    }

    private void onAck(Message message) {
        IndirectProbe indirect = indirectProbes.onAck(message.sequence());
        if (indirect != null) {
            sender.send(Kind.ACK, indirect.sequence(), indirect.requesterAddress(), indirect.requester());
        } else if (isForProbe(message)) {
            probe.onAck();
        }
    }

    private boolean isForProbe(Message message) {
        return probe != null && probe.sequence() == message.sequence();
    }

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        return (probe == null ? " -" : probe.state(nowMillis, sender.lastSequence())) + indirectProbes.state(nowMillis);
    }
}
