package rillyard.balancer;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What this proxy knows of one host: its entry in the endpoint list, its attempts in flight, and one part for each class
 * that keeps a state of its own about hosts. Plain data. Not thread-safe.
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
    private double newestAnsweredSentAtMillis = Double.NEGATIVE_INFINITY;

    /** Creates the state of a host that no list has named yet. */
    HostState(long id, HostHealth health, HostLoad load) {
        this.id = id;
        this.ringPosition = SplitMix64.ringPosition(id);
        this.health = health;
        this.load = load;
    }

    long id() {
        return id;
    }

    /** Returns the host's position in the order from which subsets are cut, which is independent of its neighbours' ids. */
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

    /** Whether the endpoint list names the host, in whatever condition. */
    boolean isListed() {
        return listed;
    }

    /** Whether the endpoint list permits requests to the host. */
    boolean isReady() {
        return ready;
    }

    /** Returns the number of the last list event that named the host. */
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

    /** Records that a complete list does not name the host. */
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

    /** Returns the latest send time (ms) of the attempts that the host has answered, negative infinity before the first. */
    double newestAnsweredSentAtMillis() {
        return newestAnsweredSentAtMillis;
    }

    /** Records an attempt that is sent to the host. */
    void attemptStarted(AttemptState attempt) {
        attempts.add(attempt);
        load.recordSend();
    }

    /** Records that an attempt is in flight no more. */
    void attemptEnded(AttemptState attempt) {
        attempts.remove(attempt);
    }

    /** Records that the host has answered an attempt. */
    void attemptAnswered(AttemptState attempt) {
        newestAnsweredSentAtMillis = Math.max(newestAnsweredSentAtMillis, attempt.sentAtMillis());
    }
}
