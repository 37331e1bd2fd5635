package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;

/** Some processes of a fault-injection run, in words: {@code all}, {@code zone:1}, {@code region:0}, {@code m3}, {@code m10-m19}, by commas. */
final class ProcessPattern {
    private record Part(int zone, int region, int first, int last) {}

    private final String words;
    private final List<Part> parts = new ArrayList<>();

    /**
     * Reads the words.
     *
     * @throws IllegalArgumentException if they are none of these; says what was expected
     */
    ProcessPattern(String words) {
        this.words = words;
        for (String w : words.split(",")) {
            String s = w.strip();
            if (s.equals("all")) {
                parts.add(new Part(-1, -1, 0, Integer.MAX_VALUE));
            } else if (s.matches("zone:\\d{1,3}")) {
                parts.add(new Part(Integer.parseInt(s.substring(5)), -1, 0, Integer.MAX_VALUE));
            } else if (s.matches("region:\\d{1,3}")) {
                parts.add(new Part(-1, Integer.parseInt(s.substring(7)), 0, Integer.MAX_VALUE));
            } else if (s.matches("m\\d{1,4}(-m\\d{1,4})?")) {
                String[] ends = s.substring(1).split("-m");
                parts.add(new Part(-1, -1, Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1])));
            } else {
                throw new IllegalArgumentException("found '" + s + "', expected all, zone:1, region:0, m3 or m10-m19");
            }
        }
    }

    boolean matches(FleetProcess process) {
        return parts.stream()
                .anyMatch(part -> process.index() >= part.first
                        && process.index() <= part.last
                        && (part.zone < 0 || part.zone == process.zone())
                        && (part.region < 0 || part.region == process.region()));
    }

    @Override
    public String toString() {
        return words;
    }
}
