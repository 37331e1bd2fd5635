package rillyard.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What is wrong with a host at present. Faults of one kind don't add up: the latest holds. */
final class HostFaults {
    private final Map<Fault.Kind, Fault> active = new EnumMap<>(Fault.Kind.class);
    private final RandomGenerator random;

    HostFaults(RandomGenerator random) {
        this.random = random;
    }

    void begin(Fault f) {
        active.put(f.kind(), f);
    }

    /** Ends a fault; false if another of its kind has taken its place. */
    boolean end(Fault f) {
        return active.remove(f.kind(), f);
    }

    void clear() {
        active.clear();
    }

    boolean has(Fault.Kind kind) {
        return active.containsKey(kind);
    }

    /** Whether a fault of this kind meets the request at hand: a draw of chance by its share. */
    boolean meets(Fault.Kind kind) {
        Fault f = active.get(kind);
        return f != null && (f.size() >= 1 || random.nextDouble() < f.size());
    }
}
