package rillyard.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the indirect probes that this member performs for others, until each ends with an ack or a nack. Bounded; not
 * thread-safe.
 */
final class IndirectProbes {
    /** Fraction of the time from the requester's probe timeout to the end of its probe after which a nack is sent. */
    private static final double NACK_SHARE = 0.8;

    private static final int MAX_PROBES_PER_MEMBER = 4;

    /**
     * One indirect probe.
     *
     * @param sequence the requester's sequence number
     * @param requester the requester's name
     * @param requesterAddress the address that the request came from
     * @param nackAtMillis when a nack is sent to the requester
     */
    record IndirectProbe(int sequence, String requester, MemberAddress requesterAddress, double nackAtMillis) {}

    private final Map<Integer, IndirectProbe> openProbes = new LinkedHashMap<>();
    private final MembershipSettings settings;

    IndirectProbes(MembershipSettings settings) {
        this.settings = settings;
    }

    boolean hasCapacity() {
        return openProbes.size() < MAX_PROBES_PER_MEMBER * settings.maxMembers();
    }

    /** Begins a probe that was requested; {@code ownSequence} is the number of this member's ping. */
    void begin(int ownSequence, Message request, MemberAddress requesterAddress, double nowMillis) {
        double nackAtMillis = nowMillis + NACK_SHARE * (settings.probeIntervalMillis() - settings.probeTimeoutMillis());
        String requester = request.sender().identity().name();
        openProbes.put(ownSequence, new IndirectProbe(request.sequence(), requester, requesterAddress, nackAtMillis));
    }

    /** Ends and returns the probe with a sequence number of this member, or null if there is none. */
    IndirectProbe onAck(int ownSequence) {
        return openProbes.remove(ownSequence);
    }

    /** Ends and returns the probes for which a nack is due. */
    List<IndirectProbe> removeOverdue(double nowMillis) {
        List<IndirectProbe> overdue = new ArrayList<>(0);
        for (Iterator<IndirectProbe> probes = openProbes.values().iterator(); probes.hasNext(); ) {
            IndirectProbe probe = probes.next();
            if (nowMillis >= probe.nackAtMillis()) {
                overdue.add(probe);
                probes.remove();
            }
        }
        return overdue;
    }

    void clear() {
        openProbes.clear();
    }

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        StringBuilder out = new StringBuilder();
        openProbes.values().forEach(probe -> out.append("; for ")
                .append(probe.requester())
                .append(probe.nackAtMillis() - nowMillis));
        return out.toString();
    }
}
