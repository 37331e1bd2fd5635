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
 * The hosts that the endpoint list names, and those it no longer names while attempts are in flight there.
 *
 * <p>The ready ones are kept in ring order as entries come, so that nothing is rebuilt for the request after a change. A
 * delta costs time in the number of its entries, whatever the number of hosts, but for the shift of an array. Not
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
    private int readyReference; // the number of ready hosts since many left last, or the greatest since then
    private double manyLeftAtMillis = Double.NEGATIVE_INFINITY;
    private long readyVersion;
    private int generation;

    HostSet(Settings settings) {
        this(settings, ArrayList::new);
    }

    /** Creates a set whose rings lie in lists that {@code emptyLists} makes. */
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

    /** Returns the number of listed hosts that get no requests in the ordinary way: not ready, or ejected. */
    int avoidedHostCount() {
        int listedCount = byId.size() - unlisted.size();
        return listedCount - ready.size() + ejectedHostCount(null);
    }

    /** Returns the hosts that may get requests, in ring order, as a view. */
    List<HostState> ready() {
        return ready.hosts();
    }

    /** Returns those of the {@link #ready} hosts that are in the proxy's zone, all if it has none. */
    HostRing readyLocal() {
        return readyLocal;
    }

    /** Returns those of the {@link #ready} hosts that are in other zones. */
    HostRing readyRemote() {
        return readyRemote;
    }

    /** Returns a number, from 0, that grows with each change of the {@link #ready} hosts or of the zone of one. */
    long readyVersion() {
        return readyVersion;
    }

    /** Returns the recent peak of the number of {@link #ready} hosts, at least their number now. */
    double recentReadyCount(double nowMillis) {
        return readyPeak.valueAt(nowMillis);
    }

    /** Returns when so many hosts had left last that what one of them was served is not known from the others (ms). */
    double manyLeftAtMillis() {
        return manyLeftAtMillis;
    }

    /** Records that the host has been ejected, or is so no more. */
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
            removeUnnamed();
        }
        forgetUnlisted();
        updateReadyPeak(nowMillis);
    }

    private void updateReadyPeak(double nowMillis) {
        int readyCount = ready.size();
        readyPeak.set(nowMillis, readyCount);
        if (readyCount < Tuning.MIN_READY_FRACTION * readyReference) {
            manyLeftAtMillis = nowMillis;
            readyReference = readyCount;
        }
        readyReference = Math.max(readyReference, readyCount);
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
        if (isRestarted) { // its new process has neither the faults nor the queue of the former one
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

    /** Takes the hosts off the list that a full list has not named. */
    private void removeUnnamed() {
        for (HostState host : byId.values()) {
            if (host.listGeneration() != generation) {
                host.removeFromList();
                updateRings(host);
                unlisted.add(host);
            }
        }
    }

    /** Forgets the hosts that are off the list and have no attempt in flight, so that churn does not accumulate. */
    private void forgetUnlisted() {
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
