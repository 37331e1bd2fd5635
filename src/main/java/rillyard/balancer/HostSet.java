package rillyard.balancer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The hosts that the endpoint list names, and those it no longer names while attempts are in flight there. */
final class HostSet {
    private static final Comparator<HostState> RING_ORDER =
            Comparator.comparingLong(HostState::ringPosition).thenComparingLong(HostState::id);

    private final double objectiveMillis;
    private final Map<Long, HostState> byId = new HashMap<>();
    private List<HostState> ready = List.of();
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
        return ready;
    }

    /** Applies a watch event; {@code entries} is ignored, and may be null, for {@link WatchEvent#FAILED}. */
    void apply(double nowMillis, WatchEvent event, List<EndpointEntry> entries, SplittableRandom random) {
        if (event == WatchEvent.FAILED) {
            return;
        }
        generation++;
        boolean changed = false;
        for (EndpointEntry entry : entries) {
            HostState host = byId.computeIfAbsent(entry.id(), this::newHost);
            boolean isReady = entry.condition() == EndpointEntry.Condition.READY;
            changed = changed || isReady != host.isReady();
            boolean restarted = entry.onlineSince() != host.onlineSince();
            host.update(entry, entry.condition() != EndpointEntry.Condition.GONE, isReady, generation);
            if (restarted) { // its new process has neither the faults nor the queue of the former one
                host.health().reset();
                host.load().reset();
                host.slowStart().reset(nowMillis, random.nextDouble());
            }
        }
        for (HostState host : byId.values()) {
            if (event != WatchEvent.DELTA && host.listGeneration() != generation) {
                changed = changed || host.isReady();
                host.removeFromList();
            }
        }
        if (changed) {
            ready = byId.values().stream()
                    .filter(HostState::isReady)
                    .sorted(RING_ORDER)
                    .toList();
        }
        byId.values().removeIf(host -> !host.isListed() && host.inFlight() == 0); // bounds the memory
    }
}
