package rillyard.balancer;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The state that this proxy keeps of one host: its entry in the endpoint list, its attempts in flight, and one part for
 * each component that keeps its own state of hosts. Contains no decision logic. Not thread-safe.
 */
final class HostState {
    private final long id;
    private final long ringPosition;
    private final HostHealth health;
    private final HostLoad load;
    private final SlowStartAllowance slowStart = new SlowStartAllowance();
    private final Set<AttemptState> attempts = new LinkedHashSet<>(4);
    private final Collection<AttemptState> attemptsView = Collections.unmodifiableSet(attempts);
    private EndpointEntry entry;
    private boolean listed;
    private boolean ready;
    private int listGeneration;
    private double latestSuccessSentAtMillis = Double.NEGATIVE_INFINITY;

    /** Creates the state of a host that no endpoint list has contained yet. */
    HostState(long id, HostHealth health, HostLoad load) {
        this.id = id;
        this.ringPosition = SplitMix64.ringPosition(id);
        this.health = health;
        this.load = load;
    }

    long id() {
        return id;
    }

    /**
     * Returns the host's position in the ring from which subsets are taken, which doesn't depend on which other hosts
     * exist.
     */
    long ringPosition() {
        return ringPosition;
    }

    String zone() {
        return entry.zone();
    }

    String machineKind() {
        return entry.machineKind();
    }

    long cell() {
        return entry.cell();
    }

    /** Returns when the host's process started (ms), 0 if long ago. */
    double startedAtMillis() {
        return entry == null ? 0 : entry.startedAtMillis();
    }

    /** Returns whether the endpoint list contains the host, in any condition. */
    boolean isListed() {
        return listed;
    }

    /** Returns whether the endpoint list permits requests to the host. */
    boolean isReady() {
        return ready;
    }

    /** Returns the number of the last list event that contained the host. */
    int listGeneration() {
        return listGeneration;
    }

    /** Records an entry of the list event with number {@code generation}. */
    void update(EndpointEntry newEntry, boolean isListed, boolean isReady, int generation) {
        entry = newEntry;
        listed = isListed;
        ready = isReady;
        listGeneration = generation;
    }

    /** Records that a full list doesn't contain the host. */
    void removeFromList() {
        listed = false;
        ready = false;
    }

    HostHealth health() {
        return health;
    }

    HostLoad load() {
        return load;
    }

    SlowStartAllowance slowStart() {
        return slowStart;
    }

    /** Returns the number of this proxy's attempts in flight at the host. */
    int inFlight() {
        return attempts.size();
    }

    /** Returns this proxy's attempts in flight at the host, in the order in which they were sent. */
    Collection<AttemptState> attempts() {
        return attemptsView;
    }

    /**
     * Returns the latest send time (ms) among the attempts with a successful response, negative infinity before the
     * first one.
     */
    double latestSuccessSentAtMillis() {
        return latestSuccessSentAtMillis;
    }

    /** Records that an attempt is sent to the host. */
    void attemptStarted(AttemptState attempt) {
        attempts.add(attempt);
        load.recordSend();
    }

    /** Records that an attempt is no longer in flight. */
    void attemptEnded(AttemptState attempt) {
        attempts.remove(attempt);
    }

    /** Records that the host has responded successfully to an attempt. */
    void attemptSucceeded(AttemptState attempt) {
        latestSuccessSentAtMillis = Math.max(latestSuccessSentAtMillis, attempt.sentAtMillis());
    }
}
