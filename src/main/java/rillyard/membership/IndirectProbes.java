package rillyard.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Questions put to members for others that got no answer themselves. Bounded; each ends with its answer or a no. */
final class IndirectProbes {
    /** Part of what is left of the asker's probe after which it is told that there is no answer here either. */
    private static final double NO_AFTER = 0.8;

    /** One question: under which number the asker knows it, who and where that is, when it is told no. */
    record IndirectProbe(int sequence, String asker, MemberAddress askerAt, double noAt) {}

    private final Map<Integer, IndirectProbe> open = new LinkedHashMap<>();
    private final MembershipSettings settings;

    IndirectProbes(MembershipSettings settings) {
        this.settings = settings;
    }

    boolean room() {
        return open.size() < 4 * settings.maxMembers();
    }

    /** Takes one on, asked under a number of our own. */
    void take(int own, Message message, MemberAddress askerAt, double now) {
        double noAt = now + NO_AFTER * (settings.probeIntervalMillis() - settings.probeTimeoutMillis());
        open.put(
                own,
                new IndirectProbe(
                        message.sequence(), message.sender().identity().name(), askerAt, noAt));
    }

    /** The errand that an answer to this number of ours ends, or null. */
    IndirectProbe answered(int own) {
        return open.remove(own);
    }

    /** Ends those whose askers are to be told no. */
    List<IndirectProbe> overdue(double now) {
        List<IndirectProbe> out = new ArrayList<>(0);
        for (Iterator<IndirectProbe> i = open.values().iterator(); i.hasNext(); ) {
            IndirectProbe probe = i.next();
            if (now >= probe.noAt()) {
                out.add(probe);
                i.remove();
            }
        }
        return out;
    }

    void clear() {
        open.clear();
    }

    String state(double now) {
        StringBuilder out = new StringBuilder();
        open.values()
                .forEach(probe -> out.append("; for ").append(probe.asker()).append(probe.noAt() - now));
        return out.toString();
    }
}
