package rillyard.balancer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The hosts that the endpoint list names, and those it no longer names while attempts are in flight there.
 *
 * <p>A delta costs time in the number of its entries, whatever the number of hosts. Not thread-safe.
 */
final class HostSet {
    private static final Comparator<HostState> RING_ORDER =
            Comparator.comparingLong(HostState::ringPosition).thenComparingLong(HostState::id);

    private final double objectiveMillis;
    private final Map<Long, HostState> byId = new HashMap<>();
    private final NavigableSet<HostState> ring = new TreeSet<>(RING_ORDER);
    private final Set<HostState> unlisted = new HashSet<>();
    private List<HostState> ready = List.of();
    private boolean isReadyCurrent = true;
    private int generation;

    HostSet(Settings settings) {
        this.objectiveMillis = settings.meanLatencyObjectiveMillis();
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
        return (int) byId.values().stream()
                .filter(host ->
                        host.isListed() && (!host.isReady() || host.health().isEjected()))
                .count();
    }

    /** Returns the hosts that may get requests, in ring order: an immutable list, another one after each change. */
    List<HostState> ready() {
        if (!isReadyCurrent) {
            ready = List.copyOf(ring);
            isReadyCurrent = true;
        }
        return ready;
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
    }

    private void apply(double nowMillis, EndpointEntry entry, SplittableRandom random) {
        HostState host = byId.computeIfAbsent(entry.id(), this::newHost);
        boolean isRestarted = entry.onlineSince() != host.onlineSince();
        boolean isReady = entry.condition() == EndpointEntry.Condition.READY;
        host.update(entry, entry.condition() != EndpointEntry.Condition.GONE, isReady, generation);
        updateRing(host);
        if (host.isListed()) {
            unlisted.remove(host);
        } else {
            unlisted.add(host);
        }
        if (isRestarted) { // its new process has neither the faults nor the queue of the former one
            host.health().reset();
            host.load().reset();
            host.slowStart().reset(nowMillis, random.nextDouble());
        }
    }

    private void updateRing(HostState host) {
        boolean isChanged = host.isReady() ? ring.add(host) : ring.remove(host);
        if (isChanged) {
            isReadyCurrent = false;
        }
    }

    /** Takes the hosts off the list that a full list has not named. */
    private void removeUnnamed() {
        for (HostState host : byId.values()) {
            if (host.listGeneration() != generation) {
                host.removeFromList();
                updateRing(host);
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
            }
        }
    }
}
