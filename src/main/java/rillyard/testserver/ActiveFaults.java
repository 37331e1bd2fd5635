package rillyard.testserver;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Holds the faults that are active on one host. Of several faults of one kind only the latest is active. Confined to
 * the host's event loop.
 */
final class ActiveFaults {
    private final Map<HostFault.Kind, HostFault> active = new EnumMap<>(HostFault.Kind.class);
    private final RandomGenerator random;

    ActiveFaults(RandomGenerator random) {
        this.random = random;
    }

    /** Activates a fault, in place of an active one of its kind. */
    void begin(HostFault fault) {
        active.put(fault.kind(), fault);
    }

    /** Deactivates a fault. Returns false if another fault of its kind has replaced it. */
    boolean end(HostFault fault) {
        return active.remove(fault.kind(), fault);
    }

    /** Deactivates all faults. */
    void clear() {
        active.clear();
    }

    /** Returns whether a fault of this kind is active. */
    boolean has(HostFault.Kind kind) {
        return active.containsKey(kind);
    }

    /**
     * Returns whether a fault of this kind affects the current request: a random draw with the fault's share of
     * requests.
     */
    boolean applies(HostFault.Kind kind) {
        HostFault fault = active.get(kind);
        return fault != null && (fault.magnitude() >= 1 || random.nextDouble() < fault.magnitude());
    }
}
