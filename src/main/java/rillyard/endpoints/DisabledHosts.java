package rillyard.endpoints;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/**
 * The hosts that operators disabled; changes the entries that discovery announced accordingly.
 *
 * <p>A disabled host receives no new requests, whatever discovery announces meanwhile. A host that was enabled again
 * counts as started at that time, as hosts are restarted while they are disabled. Not thread-safe.
 */
public final class DisabledHosts {
    /** Maximum number of disabled hosts, which limits what a faulty script can add. */
    public static final int MAX_HOSTS = 4_096;

    private final Set<String> disabled = new HashSet<>();
    private final Map<String, Double> enabledAtMillis = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        /** Limits the entries of hosts that don't return to the list; the slow start of the oldest ends first. */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_HOSTS;
        }
    };

    /** Returns whether the host is disabled. */
    public boolean contains(String name) {
        return disabled.contains(name);
    }

    /** Returns the number of disabled hosts, listed or not. */
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
            throw new IllegalStateException(MAX_HOSTS + " hosts are disabled, no more can be");
        }
        enabledAtMillis.remove(name);
        return disabled.add(name);
    }

    /**
     * Enables a host, however often it was disabled.
     *
     * @param atMillis the time on the balancer's clock at which it was enabled
     * @return whether the host's state changed
     */
    public boolean enable(String name, double atMillis) {
        if (!disabled.remove(name)) {
            return false;
        }
        enabledAtMillis.put(name, atMillis);
        return true;
    }

    /**
     * Adopts the state that another process of the same proxy stored.
     *
     * @param disabledNow the hosts that are disabled
     * @param enabledTimesMillis the times (ms, the balancer's clock) at which hosts were recently enabled
     * @return the hosts whose state changed
     */
    public Set<String> adopt(Set<String> disabledNow, Map<String, Double> enabledTimesMillis) {
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
        enabledTimesMillis.forEach((name, atMillis) -> {
            if (!disabled.contains(name) && (changed.contains(name) || !enabledAtMillis.containsKey(name))) {
                enabledAtMillis.put(name, atMillis);
                changed.add(name);
            }
        });
        return changed;
    }

    /** Returns the number of hosts whose enable time is known. */
    public int enabledTimeCount() {
        return enabledAtMillis.size();
    }

    /** Removes the enable time of a host that has left the list. */
    public void forget(String name) {
        enabledAtMillis.remove(name);
    }

    /** Returns the entry that the balancer uses for a host, given the one that discovery announced. */
    public EndpointEntry effective(String name, EndpointEntry announced) {
        boolean isReady = announced.condition() == EndpointEntry.Condition.READY;
        EndpointEntry.Condition condition =
                isReady && disabled.contains(name) ? EndpointEntry.Condition.TERMINATING : announced.condition();
        double startedAtMillis = Math.max(announced.startedAtMillis(), enabledAtMillis.getOrDefault(name, 0.0));
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
