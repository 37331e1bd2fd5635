package rillyard.faultinjection;

import java.util.List;

/** A comma-separated pattern that selects hosts: {@code all}, {@code zone:a}, {@code s-2}; or {@code discovery}. */
final class HostPattern {
    /** Matches no host; used by faults that are not about connections. */
    static final HostPattern NONE = new HostPattern("none");

    /** Id under which the relays and the plans refer to discovery. */
    static final String DISCOVERY = "discovery";

    private final List<String> elements;

    HostPattern(String text) {
        this.elements = List.of(text.split("\\s*,\\s*"));
    }

    /** Returns whether the pattern matches a host; discovery is matched only by its name. */
    boolean matches(String id, String zone) {
        return elements.contains(id)
                || (!id.equals(DISCOVERY) && (elements.contains("all") || elements.contains("zone:" + zone)));
    }

    @Override
    public String toString() {
        return String.join(",", elements);
    }
}
