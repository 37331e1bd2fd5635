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

/** What all processes of a fault-injection run believed of each other, in the order in which they came to. */
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
                JsonNode node = json.readTree(line);
                if (!node.path("at").canConvertToLong()
                        || !node.hasNonNull("member")
                        || !node.hasNonNull("about")
                        || !node.hasNonNull("status")) {
                    throw new IOException(
                            file + ":" + number + ": expected at, member, about and status, found " + line);
                }
                all.add(new Belief(
                        node.path("at").asLong(),
                        node.path("member").asText(),
                        node.path("about").asText(),
                        node.path("status").asText(),
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
        for (Belief belief : all) {
            if (belief.at >= from
                    && belief.about.equals(about)
                    && !belief.present()
                    && observers.contains(belief.member)) {
                first.putIfAbsent(belief.member, belief.at);
            }
        }
        return first;
    }

    /** What each process holds present at a time, itself among them. */
    Map<String, Set<String>> present(long at) {
        Map<String, Set<String>> held = new HashMap<>();
        for (Belief belief : all) {
            if (belief.at > at) {
                break;
            }
            apply(held, belief);
        }
        return held;
    }

    private static void apply(Map<String, Set<String>> held, Belief belief) {
        Set<String> of = held.computeIfAbsent(belief.member, m -> new HashSet<>());
        if (belief.about.equals(belief.member)) {
            of.clear();
            of.add(belief.member);
        } else if (belief.present()) {
            of.add(belief.about);
        } else {
            of.remove(belief.about);
        }
    }

    /** Since when all of these have held just these present; -1 if they don't in the end. */
    long agreedSince(Set<String> living) {
        Map<String, Set<String>> held = new HashMap<>();
        Set<String> wrong = new HashSet<>(living);
        long since = -1;
        for (Belief belief : all) {
            apply(held, belief);
            if (living.contains(belief.member)) {
                boolean before = wrong.isEmpty();
                if (held.get(belief.member).equals(living)) {
                    wrong.remove(belief.member);
                } else {
                    wrong.add(belief.member);
                }
                if (wrong.isEmpty() && !before) {
                    since = belief.at;
                }
            }
        }
        return wrong.isEmpty() ? since : -1;
    }
}
