package rillyard.endpoints;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/**
 * The hosts that people on call have taken out, laid over what discovery tells of them. A host that
 * is out gets nothing new, whatever discovery says in between; one that was given back is taken to
 * have started in that moment, as hosts are restarted while they are out. Not safe for use from
 * several threads at once.
 */
public final class DisabledHosts {
    /** The most hosts that may be out: guards against a script that takes out names without end. */
    public static final int MAX_HOSTS = 4_096;

    private final Set<String> disabled = new HashSet<>();
    private final Map<String, Double> enabledAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        /** Guards against names that never come back on the list; the oldest are warm the soonest. */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_HOSTS;
        }
    };

    /** Whether the host is out. */
    public boolean contains(String name) {
        return disabled.contains(name);
    }

    /** Hosts that are out, listed or not. */
    public int size() {
        return disabled.size();
    }

    /**
     * Takes a host out; a second time changes nothing.
     *
     * @return whether this changed anything
     * @throws IllegalStateException if {@link #MAX_HOSTS} hosts are out already
     */
    public boolean disable(String name) {
        if (!disabled.contains(name) && disabled.size() >= MAX_HOSTS) {
            throw new IllegalStateException(MAX_HOSTS + " hosts are out, no more may be");
        }
        enabledAt.remove(name);
        return disabled.add(name);
    }

    /**
     * Gives a host back, however often it was taken out.
     *
     * @param at the module's clock (ms) at which it was given back
     * @return whether this changed anything
     */
    public boolean enable(String name, double at) {
        if (!disabled.remove(name)) {
            return false;
        }
        enabledAt.put(name, at);
        return true;
    }

    /**
     * Takes over what another process of the same proxy did.
     *
     * @param now the hosts that are out
     * @param given when (ms, the module's clock) hosts were given back lately
     * @return the hosts for which this changed anything
     */
    public Set<String> adopt(Set<String> now, Map<String, Double> given) {
        Set<String> changed = new HashSet<>();
        for (String name : now) {
            if (disabled.size() < MAX_HOSTS && disable(name)) {
                changed.add(name);
            }
        }
        for (String name : Set.copyOf(disabled)) {
            if (!now.contains(name)) {
                disabled.remove(name);
                changed.add(name);
            }
        }
        given.forEach((name, at) -> {
            if (!disabled.contains(name) && (changed.contains(name) || !enabledAt.containsKey(name))) {
                enabledAt.put(name, at);
                changed.add(name);
            }
        });
        return changed;
    }

    /** Hosts of which it is known when they were given back. */
    public int enabledTimeCount() {
        return enabledAt.size();
    }

    /** The host has left the list: when it was given back is of no more use. */
    public void forget(String name) {
        enabledAt.remove(name);
    }

    /** What the module is to be told of a host of which discovery says {@code told}. */
    public EndpointEntry effective(String name, EndpointEntry told) {
        boolean ready = told.condition() == EndpointEntry.Condition.READY;
        EndpointEntry.Condition condition =
                ready && disabled.contains(name) ? EndpointEntry.Condition.TERMINATING : told.condition();
        double since = Math.max(told.onlineSince(), enabledAt.getOrDefault(name, 0.0));
        return condition == told.condition() && since == told.onlineSince()
                ? told
                : new EndpointEntry(
                        told.id(), told.zone(), told.machineKind(), told.cell(), condition, told.capacityHint(), since);
    }
}
