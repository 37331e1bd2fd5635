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

    void begin(InjectedFault f) {
        active.add(f);
    }

    void end(InjectedFault f) {
        active.remove(f);
    }

    /** How this process's connections to this host fare now. */
    Way way(FleetProcess from, String host, String zone) {
        boolean refused = false;
        boolean reset = false;
        boolean silent = false;
        double late = 0;
        for (InjectedFault f : active) {
            if (f.on().has(from) && f.hosts().has(host, zone)) {
                refused |= f.kind() == InjectedFault.Kind.REFUSED;
                reset |= f.kind() == InjectedFault.Kind.RESET;
                silent |= f.kind() == InjectedFault.Kind.SILENT;
                late += f.kind() == InjectedFault.Kind.SLOW ? f.lateMs() : 0;
            }
        }
        return new Way(refused, reset, silent, late);
    }
}
