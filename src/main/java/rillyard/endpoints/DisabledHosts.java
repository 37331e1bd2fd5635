package rillyard.endpoints;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/**
 * The hosts that operators disabled, laid over discovery's entries.
 *
 * <p>A disabled host receives no new requests, whatever discovery announces in between. A host that was enabled again
 * counts as started at that time, as hosts are restarted while they are disabled. Not thread-safe.
 */
public final class DisabledHosts {
    /** Most hosts that can be disabled, which bounds what a faulty script can add. */
    public static final int MAX_HOSTS = 4_096;

    private final Set<String> disabled = new HashSet<>();
    private final Map<String, Double> enabledAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        /** Bounds the names that never return to the list; the oldest finish their slow start first. */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_HOSTS;
        }
    };

    /** Returns whether the host is disabled. */
    public boolean contains(String name) {
        return disabled.contains(name);
    }

    /** Returns how many hosts are disabled, listed or not. */
    public int size() {
        return disabled.size();
    }

    /**
     * Disables a host; does nothing if it is disabled already.
     *
     * @return whether the host's state changed
     * @throws IllegalStateException if {@link #MAX_HOSTS} hosts are disabled already
     */
    public boolean disable(String name) {
        if (!disabled.contains(name) && disabled.size() >= MAX_HOSTS) {
            throw new IllegalStateException(MAX_HOSTS + " hosts are out, no more may be");
        }
        enabledAt.remove(name);
        return disabled.add(name);
    }

    /**
     * Enables a host, however often it was disabled.
     *
     * @param at the balancer's clock (ms) at which it was enabled
     * @return whether the host's state changed
     */
    public boolean enable(String name, double at) {
        if (!disabled.remove(name)) {
            return false;
        }
        enabledAt.put(name, at);
        return true;
    }

    /**
     * Adopts the state that another process of the same proxy stored.
     *
     * @param disabledNow the hosts that are disabled
     * @param enabledTimes when (ms, the balancer's clock) hosts were enabled lately
     * @return the hosts whose state changed
     */
    public Set<String> adopt(Set<String> disabledNow, Map<String, Double> enabledTimes) {
        Set<String> changed = new HashSet<>();
        for (String name : disabledNow) {
            if (disabled.size() < MAX_HOSTS && disable(name)) {
                changed.add(name);
            }
        }
        for (String name : Set.copyOf(disabled)) {
            if (!disabledNow.contains(name)) {
                disabled.remove(name);
                changed.add(name);
            }
        }
        enabledTimes.forEach((name, at) -> {
            if (!disabled.contains(name) && (changed.contains(name) || !enabledAt.containsKey(name))) {
                enabledAt.put(name, at);
                changed.add(name);
            }
        });
        return changed;
    }

    /** Returns for how many hosts it is known when they were enabled. */
    public int enabledTimeCount() {
        return enabledAt.size();
    }

    /** Forgets when a host was enabled, as it has left the list. */
    public void forget(String name) {
        enabledAt.remove(name);
    }

    /** Returns the entry of a host for the balancer, given the one that discovery announced. */
    public EndpointEntry effective(String name, EndpointEntry announced) {
        boolean isReady = announced.condition() == EndpointEntry.Condition.READY;
        EndpointEntry.Condition condition =
                isReady && disabled.contains(name) ? EndpointEntry.Condition.TERMINATING : announced.condition();
        double startedAtMillis = Math.max(announced.startedAtMillis(), enabledAt.getOrDefault(name, 0.0));
        return condition == announced.condition() && startedAtMillis == announced.startedAtMillis()
                ? announced
                : new EndpointEntry(
                        announced.id(),
                        announced.zone(),
                        announced.machineKind(),
                        announced.cell(),
                        condition,
                        startedAtMillis);
    }
}
