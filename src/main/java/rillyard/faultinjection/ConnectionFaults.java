package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;

/** Tracks the active connection faults and computes their effect. Confined to the relays' event loop. */
final class ConnectionFaults {
    /**
     * The combined effect of the active faults on one connection.
     *
     * @param refused whether new connections are refused
     * @param reset whether open and new connections are reset
     * @param silent whether connections stay open but forward nothing
     * @param delayMs delay of each forwarded piece in milliseconds, 0 for none
     */
    record Effect(boolean refused, boolean reset, boolean silent, double delayMs) {}

    private final List<InjectedFault> active = new ArrayList<>();

    /** Activates a fault. */
    void begin(InjectedFault fault) {
        active.add(fault);
    }

    /** Deactivates a fault. */
    void end(InjectedFault fault) {
        active.remove(fault);
    }

    /** Returns the effect of the active faults on connections from a process to a host; delays add up. */
    Effect effect(FleetProcess from, String host, String zone) {
        boolean refused = false;
        boolean reset = false;
        boolean silent = false;
        double delayMs = 0;
        for (InjectedFault fault : active) {
            if (fault.sources().matches(from) && fault.hosts().matches(host, zone)) {
                refused |= fault.kind() == InjectedFault.Kind.REFUSED;
                reset |= fault.kind() == InjectedFault.Kind.RESET;
                silent |= fault.kind() == InjectedFault.Kind.SILENT;
                delayMs += fault.kind() == InjectedFault.Kind.SLOW ? fault.delayMs() : 0;
            }
        }
        return new Effect(refused, reset, silent, delayMs);
    }
}
