package rillyard.membership;

import java.util.random.RandomGenerator;
import rillyard.membership.IndirectProbes.IndirectProbe;
import rillyard.membership.Message.Kind;

/**
 * SWIM's failure detector with Lifeguard's extensions: probes one member in each protocol period, directly and through
 * helpers, and declares suspects dead that do not refute in time. Not thread-safe.
 */
final class FailureDetector {
    /** Average number of members that ping a suspect in a period, besides its suspectors. */
    private static final double EXTRA_SUSPECT_PINGS = 4;

    /** Points by which a pause of this process lowers the local health. */
    private static final int PAUSE_PENALTY = 2;

    /** Source of this member's updates ({@link MembershipEvent#source}): an unanswered probe, a suspicion timeout. */
    private static final String SOURCE_PROBE = "a probe"; // stored in the history, as is the next

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

    /** Does what is due. */
    void onTick(double now) {
        for (IndirectProbe overdue : indirectProbes.removeOverdue(now)) {
            sender.send(Kind.NACK, overdue.sequence(), overdue.requesterAddress(), overdue.requester());
        }
        if (probe != null) {
            continueProbe(now);
        }
        if (probe == null) {
            beginProbe(now);
        }
        for (MemberState suspect : members.suspects()) {
            pingSuspect(suspect, now);
            expireSuspect(suspect, now);
        }
    }

    /**
     * Handles a pause of this process, in which acks may have been left unread and suspects could not be heard.
     *
     * <p>A process that resumes must not declare everybody dead.
     */
    void onProcessPause(double pauseMillis) {
        probe = null;
        indirectProbes.clear();
        health.degrade(PAUSE_PENALTY);
        members.suspects().forEach(suspect -> suspect.extend(pauseMillis));
    }

    // --- this member's own probe

    private void beginProbe(double now) {
        MemberState member = members.nextToProbe();
        if (member != null) {
            MemberIdentity target = member.update().identity();
            probe = new Probe(sender.nextSequence(), target, now, health.factor(), settings);
            pingTarget();
        }
    }

    private void pingTarget() {
        MemberIdentity target = probe.target();
        sender.send(Kind.PING, probe.sequence(), target.address(), target.name());
    }

    private void continueProbe(double now) {
        if (probe.shouldProbeIndirectly(now)) {
            probeIndirectly();
        }
        if (probe.isOver(now)) {
            Probe ended = probe;
            probe = null;
            onProbeEnded(ended, now);
        } else if (probe.shouldPingAgain(now)) {
            pingTarget();
        }
    }

    private void probeIndirectly() {
        MemberIdentity target = probe.target();
        for (MemberState helper : members.pickRandom(settings.indirectProbes(), target.name(), false)) {
            probe.onHelperAsked();
            sender.requestPing(probe.sequence(), helper.address(), target);
        }
    }

    private void onProbeEnded(Probe ended, double now) {
        if (ended.isAcknowledged()) {
            health.improve();
            return;
        }
        health.degrade(ended.healthPenalty());
        MemberState member = members.get(ended.target().name());
        if (member != null && member.status().isPresent()) {
            updates.apply(ownUpdate(member, MemberStatus.SUSPECT), now, SOURCE_PROBE);
        }
    }

    private MemberUpdate ownUpdate(MemberState member, MemberStatus status) {
        int reporterId = localMember.update().reporterId();
        return new MemberUpdate(member.update().identity(), member.update().incarnation(), status, reporterId);
    }

    // --- suspects

    /**
     * Pings a suspect repeatedly, so that it learns of the suspicion and its refutation arrives, also if much is lost.
     *
     * <p>Its suspectors do so, some of the other members and, once half of the suspicion timeout has passed, every
     * member still without the refutation, as gossip misses about one member in several hundred.
     */
    private void pingSuspect(MemberState suspect, double now) {
        if (now < suspect.nextPingAtMillis()) {
            return;
        }
        suspect.scheduleNextPing(now + settings.probeIntervalMillis());
        boolean isOverdue = now - suspect.sinceMillis() >= settings.minSuspicionMillis(presentCount()) / 2;
        if (isOverdue
                || suspect.suspectors().contains(localMember.update().reporterId())
                || random.nextDouble() * presentCount() < EXTRA_SUSPECT_PINGS) {
            sender.ping(suspect.address(), suspect.name());
        }
    }

    private void expireSuspect(MemberState suspect, double now) {
        double timeoutMillis = SuspicionTimeout.millis(
                settings, presentCount(), suspect.suspectors().size());
        if (now - suspect.sinceMillis() >= timeoutMillis) {
            updates.override(suspect, ownUpdate(suspect, MemberStatus.DEAD), now, SOURCE_TIMEOUT);
        }
    }

    /** Returns how many members are present, this one included. */
    private int presentCount() {
        return members.presentCount() + 1;
    }

    // --- messages

    /** Handles the part of a message that concerns probes. */
    void onMessage(double now, MemberAddress from, Message message) {
        switch (message.kind()) {
            case PING -> onPing(from, message);
            case PING_REQUEST -> onPingRequest(now, from, message);
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

    private void onPingRequest(double now, MemberAddress from, Message message) {
        if (indirectProbes.hasCapacity() && !localMember.hasName(message.target())) {
            int sequence = sender.nextSequence();
            indirectProbes.begin(sequence, message, from, now);
            sender.send(Kind.PING, sequence, message.targetAt(), message.target());
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

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        return (probe == null ? " -" : probe.state(now, sender.lastSequence())) + indirectProbes.state(now);
    }
}
