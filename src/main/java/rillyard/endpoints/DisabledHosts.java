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
    public static final int MOST = 4_096;

    private final Set<String> out = new HashSet<>();
    private final Map<String, Double> back = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        /** Guards against names that never come back on the list; the oldest are warm the soonest. */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MOST;
        }
    };

    /** Whether the host is out. */
    public boolean contains(String name) {
        return out.contains(name);
    }

    /** Hosts that are out, listed or not. */
    public int size() {
        return out.size();
    }

    /**
     * Takes a host out; a second time changes nothing.
     *
     * @return whether this changed anything
     * @throws IllegalStateException if {@link #MOST} hosts are out already
     */
    public boolean takeOut(String name) {
        if (!out.contains(name) && out.size() >= MOST) {
            throw new IllegalStateException(MOST + " hosts are out, no more may be");
        }
        back.remove(name);
        return out.add(name);
    }

    /**
     * Gives a host back, however often it was taken out.
     *
     * @param at the module's clock (ms) at which it was given back
     * @return whether this changed anything
     */
    public boolean giveBack(String name, double at) {
        if (!out.remove(name)) {
            return false;
        }
        back.put(name, at);
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
            if (out.size() < MOST && takeOut(name)) {
                changed.add(name);
            }
        }
        for (String name : Set.copyOf(out)) {
            if (!now.contains(name)) {
                out.remove(name);
                changed.add(name);
            }
        }
        given.forEach((name, at) -> {
            if (!out.contains(name) && (changed.contains(name) || !back.containsKey(name))) {
                back.put(name, at);
                changed.add(name);
            }
        });
        return changed;
    }

    /** Hosts of which it is known when they were given back. */
    public int remembered() {
        return back.size();
    }

    /** The host has left the list: when it was given back is of no more use. */
    public void forget(String name) {
        back.remove(name);
    }

    /** What the module is to be told of a host of which discovery says {@code told}. */
    public EndpointEntry effective(String name, EndpointEntry told) {
        boolean ready = told.condition() == EndpointEntry.Condition.READY;
        EndpointEntry.Condition condition =
                ready && out.contains(name) ? EndpointEntry.Condition.TERMINATING : told.condition();
        double since = Math.max(told.onlineSince(), back.getOrDefault(name, 0.0));
        return condition == told.condition() && since == told.onlineSince()
                ? told
                : new EndpointEntry(
                        told.id(), told.zone(), told.kind(), told.cell(), condition, told.capacityHint(), since);
    }
}
