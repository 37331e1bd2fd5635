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

/** What all processes of a trial believed of each other, in the order in which they came to. */
final class MembershipTimeline {
    /**
     * One change of one process's belief.
     *
     * @param at Unix time (ms)
     * @param about equals {@code member} where a process has just started and believes nothing yet
     * @param line as the process wrote it
     */
    record Belief(long at, String member, String about, String status, String line) {
        Belief(long at, String member, String about, String status) {
            this(at, member, about, status, "");
        }

        boolean present() {
            return status.equals("ALIVE") || status.equals("SUSPECT");
        }
    }

    private final List<Belief> all;

    MembershipTimeline(List<Belief> all) {
        this.all = new ArrayList<>(all);
        this.all.sort(Comparator.comparingLong(Belief::at));
    }

    /**
     * Reads the files that processes wrote; a last line that a killed process did not end is left out.
     *
     * @throws IOException if one can't be read, or holds a whole line that is none
     */
    static MembershipTimeline read(List<Path> histories) throws IOException {
        ObjectMapper json = new ObjectMapper();
        List<Belief> all = new ArrayList<>();
        for (Path file : histories) {
            if (!Files.exists(file)) {
                continue; // its process never came so far
            }
            String text = Files.readString(file);
            int number = 0;
            for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n")) {
                number++;
                if (line.isEmpty()) {
                    continue;
                }
                JsonNode n = json.readTree(line);
                if (!n.path("at").canConvertToLong()
                        || !n.hasNonNull("member")
                        || !n.hasNonNull("about")
                        || !n.hasNonNull("status")) {
                    throw new IOException(
                            file + ":" + number + ": expected at, member, about and status, found " + line);
                }
                all.add(new Belief(
                        n.path("at").asLong(),
                        n.path("member").asText(),
                        n.path("about").asText(),
                        n.path("status").asText(),
                        line));
            }
        }
        return new MembershipTimeline(all);
    }

    /** Writes all lines into one file. */
    void write(Path file) throws IOException {
        Files.write(file, all.stream().map(Belief::line).toList());
    }

    List<Belief> all() {
        return all;
    }

    /** When each of the observers first held this one gone, at or after a time; those that never did are left out. */
    Map<String, Long> heldGone(String about, long from, Set<String> observers) {
        Map<String, Long> first = new TreeMap<>();
        for (Belief b : all) {
            if (b.at >= from && b.about.equals(about) && !b.present() && observers.contains(b.member)) {
                first.putIfAbsent(b.member, b.at);
            }
        }
        return first;
    }

    /** What each process holds present at a time, itself among them. */
    Map<String, Set<String>> present(long at) {
        Map<String, Set<String>> held = new HashMap<>();
        for (Belief b : all) {
            if (b.at > at) {
                break;
            }
            apply(held, b);
        }
        return held;
    }

    private static void apply(Map<String, Set<String>> held, Belief b) {
        Set<String> of = held.computeIfAbsent(b.member, m -> new HashSet<>());
        if (b.about.equals(b.member)) {
            of.clear();
            of.add(b.member);
        } else if (b.present()) {
            of.add(b.about);
        } else {
            of.remove(b.about);
        }
    }

    /** Since when all of these have held just these present; -1 if they don't in the end. */
    long agreedSince(Set<String> living) {
        Map<String, Set<String>> held = new HashMap<>();
        Set<String> wrong = new HashSet<>(living);
        long since = -1;
        for (Belief b : all) {
            apply(held, b);
            if (living.contains(b.member)) {
                boolean before = wrong.isEmpty();
                if (held.get(b.member).equals(living)) {
                    wrong.remove(b.member);
                } else {
                    wrong.add(b.member);
                }
                if (wrong.isEmpty() && !before) {
                    since = b.at;
                }
            }
        }
        return wrong.isEmpty() ? since : -1;
    }
}
