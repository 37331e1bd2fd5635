package rillyard.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The hosts of the endpoint list, and those that were removed from it but still have attempts in flight.
 *
 * <p>Ready hosts are kept in ring order as entries arrive, so that a request after a change rebuilds nothing. Apart
 * from the shift of an array, the cost of a delta depends on the number of its entries, not on the number of hosts. Not
 * thread-safe.
 */
final class HostSet {
    private final double objectiveMillis;
    private final String zone;
    private final Map<Long, HostState> byId = new HashMap<>();
    private final HostRing ready;
    private final HostRing readyLocal;
    private final HostRing readyRemote;
    private final Set<HostState> unlisted = new HashSet<>();
    private final Set<HostState> ejected = new HashSet<>();
    private final DecayingPeak readyPeak;
    private int readyCountBaseline; // greatest number of ready hosts since manyRemovedAtMillis
    private double manyRemovedAtMillis = Double.NEGATIVE_INFINITY;
    private long readyVersion;
    private int generation;

    HostSet(Settings settings) {
        this(settings, ArrayList::new);
    }

    /** Creates a set whose rings are stored in lists from {@code emptyLists}. */
    HostSet(Settings settings, Supplier<List<HostState>> emptyLists) {
        this.objectiveMillis = settings.meanLatencyObjectiveMillis();
        this.zone = settings.zone();
        this.readyPeak = new DecayingPeak(Math.max(
                Tuning.PEAK_DECAY_MILLIS,
                Tuning.READY_PEAK_DECAY_WARM_UPS * settings.rules().warmUpMillis()));
        this.ready = new HostRing(emptyLists.get());
        this.readyLocal = new HostRing(emptyLists.get());
        this.readyRemote = new HostRing(emptyLists.get());
    }

    private HostState newHost(long id) {
        double penaltyDecayMillis = Tuning.PENALTY_DECAY_OBJECTIVES * objectiveMillis;
        HostHealth health = new HostHealth(penaltyDecayMillis, Tuning.FAILURE_RATE_DECAY_OBJECTIVES * objectiveMillis);
        return new HostState(id, health, new HostLoad(Tuning.SLOWNESS_DECAY_MILLIS));
    }

    /** Returns the host with this id, null if there is none. */
    HostState get(long id) {
        return byId.get(id);
    }

    /** Returns the number of listed hosts that normally get no requests: those that are not ready or are ejected. */
    int avoidedHostCount() {
        int listedCount = byId.size() - unlisted.size();
        return listedCount - ready.size() + ejectedHostCount(null);
    }

    /** Returns a view of the hosts that may get requests, in ring order. */
    List<HostState> ready() {
        return ready.hosts();
    }

    /** Returns the {@link #ready} hosts in the proxy's zone, all of them if the proxy has no zone. */
    HostRing readyLocal() {
        return readyLocal;
    }

    /** Returns the {@link #ready} hosts in other zones. */
    HostRing readyRemote() {
        return readyRemote;
    }

    /**
     * Returns a number, from 0, that increases with each change of the {@link #ready} hosts or of the zone of one of
     * them.
     */
    long readyVersion() {
        return readyVersion;
    }

    /** Returns the recent peak of the number of {@link #ready} hosts, at least the current number. */
    double recentReadyCount(double nowMillis) {
        return readyPeak.valueAt(nowMillis);
    }

    /**
     * Returns the last time (ms) at which so many hosts had been removed, or were no longer ready, that the requests
     * one of them served can't be inferred from the remaining hosts.
     */
    double manyRemovedAtMillis() {
        return manyRemovedAtMillis;
    }

    /** Updates the set of ejected hosts after the host was ejected or readmitted. */
    void onEjectionChanged(HostState host) {
        if (host.health().isEjected()) {
            ejected.add(host);
        } else {
            ejected.remove(host);
        }
    }

    /** Returns how many {@link #ready} hosts other than {@code except}, which may be null, are ejected. */
    int ejectedHostCount(HostState except) {
        int count = 0;
        for (HostState host : ejected) {
            if (host != except && host.isReady()) {
                count++;
            }
        }
        return count;
    }

    /** Applies a watch event; {@code entries} is ignored, and may be null, for {@link WatchEvent#FAILED}. */
    void apply(double nowMillis, WatchEvent event, List<EndpointEntry> entries, SplittableRandom random) {
        if (event == WatchEvent.FAILED) {
            return;
        }
        generation++;
        for (EndpointEntry entry : entries) {
            apply(nowMillis, entry, random);
        }
        if (event != WatchEvent.DELTA) {
            unlistMissingHosts();
        }
        removeUnlisted();
        updateReadyPeak(nowMillis);
    }

    private void updateReadyPeak(double nowMillis) {
        int readyCount = ready.size();
        readyPeak.set(nowMillis, readyCount);
        if (readyCount < Tuning.MIN_READY_FRACTION * readyCountBaseline) {
            manyRemovedAtMillis = nowMillis;
            readyCountBaseline = readyCount;
        }
        readyCountBaseline = Math.max(readyCountBaseline, readyCount);
    }

    private void apply(double nowMillis, EndpointEntry entry, SplittableRandom random) {
        HostState host = byId.computeIfAbsent(entry.id(), this::newHost);
        boolean isRestarted = entry.startedAtMillis() != host.startedAtMillis();
        boolean isReady = entry.condition() == EndpointEntry.Condition.READY;
        host.update(entry, entry.condition() != EndpointEntry.Condition.GONE, isReady, generation);
        updateRings(host);
        if (host.isListed()) {
            unlisted.remove(host);
        } else {
            unlisted.add(host);
        }
        if (isRestarted) { // a new process has neither the faults nor the queue of the previous one
            host.health().reset();
            onEjectionChanged(host);
            host.load().reset();
            host.slowStart().reset(nowMillis, random.nextDouble());
        }
    }

    private void updateRings(HostState host) {
        boolean isLocal = zone == null || zone.equals(host.zone());
        boolean isChanged = ready.setMember(host, host.isReady());
        isChanged |= readyLocal.setMember(host, host.isReady() && isLocal);
        isChanged |= readyRemote.setMember(host, host.isReady() && !isLocal);
        if (isChanged) {
            readyVersion++;
        }
    }

    /** Marks the hosts that the full list doesn't contain as unlisted. */
    private void unlistMissingHosts() {
        for (HostState host : byId.values()) {
            if (host.listGeneration() != generation) {
                host.removeFromList();
                updateRings(host);
                unlisted.add(host);
            }
        }
    }

    /** Removes the unlisted hosts without attempts in flight, so that former hosts don't accumulate. */
    private void removeUnlisted() {
        for (Iterator<HostState> hosts = unlisted.iterator(); hosts.hasNext(); ) {
            HostState host = hosts.next();
            if (host.inFlight() == 0) {
                hosts.remove();
                byId.remove(host.id());
                ejected.remove(host);
            }
        }
    }
}
