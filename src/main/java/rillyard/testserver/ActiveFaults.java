package rillyard.testserver;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What is wrong with a host at present. Faults of one kind don't add up: the latest holds. */
final class ActiveFaults {
    private final Map<HostFault.Kind, HostFault> active = new EnumMap<>(HostFault.Kind.class);
    private final RandomGenerator random;

    ActiveFaults(RandomGenerator random) {
        this.random = random;
    }

    void begin(HostFault fault) {
        active.put(fault.kind(), fault);
    }

    /** Ends a fault; false if another of its kind has taken its place. */
    boolean end(HostFault fault) {
        return active.remove(fault.kind(), fault);
    }

    void clear() {
        active.clear();
    }

    boolean has(HostFault.Kind kind) {
        return active.containsKey(kind);
    }

    /** Whether a fault of this kind meets the request at hand: a draw of chance by its share. */
    boolean applies(HostFault.Kind kind) {
        HostFault fault = active.get(kind);
        return fault != null && (fault.magnitude() >= 1 || random.nextDouble() < fault.magnitude());
    }
}
