package rillyard.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The changes of member state that all processes of a fault-injection run recorded, in the order of their times. */
final class MembershipTimeline {
    /**
     * A change of one member's state in the view of one process.
     *
     * @param at Unix time in milliseconds
     * @param observer name of the process that recorded the change
     * @param subject name of the member; equals {@code observer} when a process has just started with an empty view
     * @param status name of the new state
     * @param line the line that the process wrote
     */
    record StateChange(long at, String observer, String subject, String status, String line) {
        StateChange(long at, String observer, String subject, String status) {
            this(at, observer, subject, status, "");
        }

        /** Returns whether the member counts as present in the new state. */
        boolean isPresent() {
            return status.equals("ALIVE") || status.equals("SUSPECT");
        }
    }

    private final List<StateChange> changes;

    MembershipTimeline(List<StateChange> changes) {
        this.changes = new ArrayList<>(changes);
        this.changes.sort(Comparator.comparingLong(StateChange::at));
    }

    /**
     * Reads the histories that the processes wrote; an incomplete last line of a killed process is skipped.
     *
     * @throws IOException if a file can't be read, or has a malformed line
     */
    static MembershipTimeline read(List<Path> histories) throws IOException {
        ObjectMapper json = new ObjectMapper();
        List<StateChange> changes = new ArrayList<>();
        for (Path file : histories) {
            if (!Files.exists(file)) {
                continue; // its process ended before it wrote a history
            }
            String text = Files.readString(file);
            int number = 0;
            for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n")) {
                number++;
                if (line.isEmpty()) {
                    continue;
                }
                JsonNode node = json.readTree(line);
                if (!node.path("at").canConvertToLong()
                        || !node.hasNonNull("member")
                        || !node.hasNonNull("about")
                        || !node.hasNonNull("status")) {
                    throw new IOException(
                            file + ":" + number + ": expected at, member, about and status, found " + line);
                }
                changes.add(new StateChange(
                        node.path("at").asLong(),
                        node.path("member").asText(),
                        node.path("about").asText(),
                        node.path("status").asText(),
                        line));
            }
        }
        return new MembershipTimeline(changes);
    }

    /** Writes the lines of all changes into one file. */
    void write(Path file) throws IOException {
        Files.write(file, changes.stream().map(StateChange::line).toList());
    }

    /** Returns all changes in the order of their times. */
    List<StateChange> changes() {
        return changes;
    }

    /**
     * Returns when each observer first declared a member absent, in Unix milliseconds by observer name.
     *
     * @param fromMillis Unix time in milliseconds; earlier changes are ignored
     * @param observers the processes to consider; one that never declared the member absent is not in the result
     */
    Map<String, Long> detectionTimes(String subject, long fromMillis, Set<String> observers) {
        Map<String, Long> first = new TreeMap<>();
        for (StateChange change : changes) {
            if (change.at >= fromMillis
                    && change.subject.equals(subject)
                    && !change.isPresent()
                    && observers.contains(change.observer)) {
                first.putIfAbsent(change.observer, change.at);
            }
        }
        return first;
    }

    /** Returns the members that each process saw as present at a Unix time in milliseconds, itself included. */
    Map<String, Set<String>> presentMembers(long unixMillis) {
        Map<String, Set<String>> views = new HashMap<>();
        for (StateChange change : changes) {
            if (change.at > unixMillis) {
                break;
            }
            apply(views, change);
        }
        return views;
    }

    private static void apply(Map<String, Set<String>> views, StateChange change) {
        Set<String> view = views.computeIfAbsent(change.observer, m -> new HashSet<>());
        if (change.subject.equals(change.observer)) {
            view.clear();
            view.add(change.observer);
        } else if (change.isPresent()) {
            view.add(change.subject);
        } else {
            view.remove(change.subject);
        }
    }

    /**
     * Returns the Unix time in milliseconds since which each of the members has seen exactly these members as present,
     * or -1 if they do not agree in the end.
     */
    long agreedSince(Set<String> members) {
        Map<String, Set<String>> views = new HashMap<>();
        Set<String> disagreeing = new HashSet<>(members);
        long agreedSinceMillis = -1;
        for (StateChange change : changes) {
            apply(views, change);
            if (members.contains(change.observer)) {
                boolean agreedBefore = disagreeing.isEmpty();
                if (views.get(change.observer).equals(members)) {
                    disagreeing.remove(change.observer);
                } else {
                    disagreeing.add(change.observer);
                }
                if (disagreeing.isEmpty() && !agreedBefore) {
                    agreedSinceMillis = change.at;
                }
            }
        }
        return disagreeing.isEmpty() ? agreedSinceMillis : -1;
    }
}
