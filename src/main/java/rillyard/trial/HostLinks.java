package rillyard.trial;

import java.util.ArrayList;
import java.util.List;

/** Decides what becomes of a process's connections to a host, by the faults that are under way. */
final class HostLinks {
    /**
     * How a connection fares.
     *
     * @param lateMs by how much all bytes come later
     */
    record Way(boolean refused, boolean reset, boolean silent, double lateMs) {}

    private final List<Fault> active = new ArrayList<>();

    void begin(Fault f) {
        active.add(f);
    }

    void end(Fault f) {
        active.remove(f);
    }

    /** How this process's connections to this host fare now. */
    Way way(TrialMember from, String host, String zone) {
        boolean refused = false;
        boolean reset = false;
        boolean silent = false;
        double late = 0;
        for (Fault f : active) {
            if (f.on().has(from) && f.hosts().has(host, zone)) {
                refused |= f.kind() == Fault.Kind.REFUSED;
                reset |= f.kind() == Fault.Kind.RESET;
                silent |= f.kind() == Fault.Kind.SILENT;
                late += f.kind() == Fault.Kind.SLOW ? f.lateMs() : 0;
            }
        }
        return new Way(refused, reset, silent, late);
    }
}
