package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Decides what becomes of a datagram between two processes, by the faults that are under way. */
final class DatagramFaults {
    private final List<InjectedFault> active = new ArrayList<>();
    private final SplittableRandom random;

    DatagramFaults(long seed) {
        this.random = new SplittableRandom(seed);
    }

    void begin(InjectedFault fault) {
        active.add(fault);
    }

    void end(InjectedFault fault) {
        active.remove(fault);
    }

    /** For how long (ms) each copy is held that arrives; none where it is lost. */
    double[] copies(FleetProcess from, FleetProcess to) {
        int copies = 1;
        double late = 0;
        for (InjectedFault fault : active) {
            if (fault.affects(from, to)) {
                boolean met = fault.kind() == InjectedFault.Kind.DELAY || random.nextDouble() < fault.share();
                if (met) {
                    switch (fault.kind()) {
                        case LOSE -> {
                            return new double[0];
                        }
                        case DOUBLE -> copies = 2;
                        default -> late = Math.max(late, fault.delayMs());
                    }
                }
            }
        }
        double[] held = new double[copies];
        for (int i = 0; i < copies; i++) {
            held[i] = late * random.nextDouble();
        }
        return held;
    }
}
