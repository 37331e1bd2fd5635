package rillyard.faultinjection;

import java.util.List;

/** Some hosts of a fault-injection run, in words: {@code all}, {@code zone:a}, {@code s-2}, by commas; or {@code discovery}. */
final class HostPattern {
    /** No host: for faults that are none of theirs. */
    static final HostPattern NONE = new HostPattern("none");

    /** What {@code discovery} is called where it is called. */
    static final String DISCOVERY = "discovery";

    private final List<String> words;

    HostPattern(String words) {
        this.words = List.of(words.split("\\s*,\\s*"));
    }

    /** Whether it has the host; discovery only where it is named. */
    boolean matches(String id, String zone) {
        return words.contains(id)
                || (!id.equals(DISCOVERY) && (words.contains("all") || words.contains("zone:" + zone)));
    }

    @Override
    public String toString() {
        return String.join(",", words);
    }
}
