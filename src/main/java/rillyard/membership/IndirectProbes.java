package rillyard.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The indirect probes that this member carries out for others, until each ends with an ack or a nack. Bounded; not
 * thread-safe.
 */
final class IndirectProbes {
    /** Share of the requester's remaining probe time after which it receives a nack. */
    private static final double NACK_AFTER = 0.8;

    private static final int MAX_PROBES_PER_MEMBER = 4;

    /**
     * One indirect probe.
     *
     * @param sequence the requester's sequence number
     * @param requester the requester's name
     * @param requesterAddress the address that the request came from
     * @param nackAt when the requester receives a nack
     */
    record IndirectProbe(int sequence, String requester, MemberAddress requesterAddress, double nackAt) {}

    private final Map<Integer, IndirectProbe> openProbes = new LinkedHashMap<>();
    private final MembershipSettings settings;

    IndirectProbes(MembershipSettings settings) {
        this.settings = settings;
    }

    boolean hasCapacity() {
        return openProbes.size() < MAX_PROBES_PER_MEMBER * settings.maxMembers();
    }

    /** Begins a probe that was requested, under a sequence number of this member. */
    void begin(int ownSequence, Message request, MemberAddress requesterAddress, double now) {
        double nackAt = now + NACK_AFTER * (settings.probeIntervalMillis() - settings.probeTimeoutMillis());
        String requester = request.sender().identity().name();
        openProbes.put(ownSequence, new IndirectProbe(request.sequence(), requester, requesterAddress, nackAt));
    }

    /** Ends and returns the probe of a sequence number of this member; null if there is none. */
    IndirectProbe onAck(int ownSequence) {
        return openProbes.remove(ownSequence);
    }

    /** Ends and returns the probes whose requesters are to receive a nack. */
    List<IndirectProbe> removeOverdue(double now) {
        List<IndirectProbe> overdue = new ArrayList<>(0);
        for (Iterator<IndirectProbe> probes = openProbes.values().iterator(); probes.hasNext(); ) {
            IndirectProbe probe = probes.next();
            if (now >= probe.nackAt()) {
                overdue.add(probe);
                probes.remove();
            }
        }
        return overdue;
    }

    void clear() {
        openProbes.clear();
    }

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        StringBuilder out = new StringBuilder();
        openProbes
                .values()
                .forEach(probe -> out.append("; for ").append(probe.requester()).append(probe.nackAt() - now));
        return out.toString();
    }
}
