package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;

/** Decides what becomes of a process's connections to a host, by the faults that are under way. */
final class ConnectionFaults {
    /**
     * How a connection fares.
     *
     * @param lateMs by how much all bytes come later
     */
    record Way(boolean refused, boolean reset, boolean silent, double lateMs) {}

    private final List<InjectedFault> active = new ArrayList<>();

    void begin(InjectedFault fault) {
        active.add(fault);
    }

    void end(InjectedFault fault) {
        active.remove(fault);
    }

    /** How this process's connections to this host fare now. */
    Way way(FleetProcess from, String host, String zone) {
        boolean refused = false;
        boolean reset = false;
        boolean silent = false;
        double late = 0;
        for (InjectedFault fault : active) {
            if (fault.sources().matches(from) && fault.hosts().matches(host, zone)) {
                refused |= fault.kind() == InjectedFault.Kind.REFUSED;
                reset |= fault.kind() == InjectedFault.Kind.RESET;
                silent |= fault.kind() == InjectedFault.Kind.SILENT;
                late += fault.kind() == InjectedFault.Kind.SLOW ? fault.delayMs() : 0;
            }
        }
        return new Way(refused, reset, silent, late);
    }
}
