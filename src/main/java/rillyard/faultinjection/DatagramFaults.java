package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Tracks the active datagram faults and draws their effect on each datagram. Confined to the network's event loop. */
final class DatagramFaults {
    private final List<InjectedFault> active = new ArrayList<>();
    private final SplittableRandom random;

    DatagramFaults(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Activates a fault. */
    void begin(InjectedFault fault) {
        active.add(fault);
    }

    /** Deactivates a fault. */
    void end(InjectedFault fault) {
        active.remove(fault);
    }

    /** Returns the delay in milliseconds of each copy of a datagram that is delivered; empty if it is lost. */
    double[] copyDelays(FleetProcess from, FleetProcess to) {
        int copies = 1;
        double maxDelayMs = 0;
        for (InjectedFault fault : active) {
            if (fault.affects(from, to)) {
                boolean applies = fault.kind() == InjectedFault.Kind.DELAY || random.nextDouble() < fault.share();
                if (applies) {
                    switch (fault.kind()) {
                        case LOSE -> {
                            return new double[0];
                        }
                        case DOUBLE -> copies = 2;
                        default -> maxDelayMs = Math.max(maxDelayMs, fault.delayMs());
                    }
                }
            }
        }
        double[] delaysMs = new double[copies];
        for (int i = 0; i < copies; i++) {
            delaysMs[i] = maxDelayMs * random.nextDouble();
        }
        return delaysMs;
    }
}
