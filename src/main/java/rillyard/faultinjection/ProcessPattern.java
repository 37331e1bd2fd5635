package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.List;

/**
 * A comma-separated pattern that selects processes: {@code all}, {@code zone:1}, {@code region:0}, {@code m3} or
 * {@code m10-m19}.
 */
final class ProcessPattern {
    /** One element: a range of indexes, and a zone and region, where -1 stands for any. */
    private record Element(int zone, int region, int first, int last) {}

    private final String text;
    private final List<Element> elements = new ArrayList<>();

    /**
     * Parses a pattern.
     *
     * @throws IllegalArgumentException if an element is malformed; the message says what was expected
     */
    ProcessPattern(String text) {
        this.text = text;
        for (String part : text.split(",")) {
            String element = part.strip();
            if (element.equals("all")) {
                elements.add(new Element(-1, -1, 0, Integer.MAX_VALUE));
            } else if (element.matches("zone:\\d{1,3}")) {
                elements.add(new Element(Integer.parseInt(element.substring(5)), -1, 0, Integer.MAX_VALUE));
            } else if (element.matches("region:\\d{1,3}")) {
                elements.add(new Element(-1, Integer.parseInt(element.substring(7)), 0, Integer.MAX_VALUE));
            } else if (element.matches("m\\d{1,4}(-m\\d{1,4})?")) {
                String[] ends = element.substring(1).split("-m");
                elements.add(new Element(-1, -1, Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1])));
            } else {
                throw new IllegalArgumentException(
                        "found '" + element + "', expected all, zone:1, region:0, m3 or m10-m19");
            }
        }
    }

    /** Returns whether any element of the pattern matches a process. */
    boolean matches(FleetProcess process) {
        return elements.stream()
                .anyMatch(element -> process.index() >= element.first
                        && process.index() <= element.last
                        && (element.zone < 0 || element.zone == process.zone())
                        && (element.region < 0 || element.region == process.region()));
    }

    @Override
    public String toString() {
        return text;
    }
}
