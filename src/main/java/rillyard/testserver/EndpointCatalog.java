package rillyard.testserver;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** The list of hosts and the changes that made it, by version. Used on discovery's loop only. */
final class EndpointCatalog {
    /** Changes kept for those that ask for what came after a version; past it they get the whole list. */
    private static final int MAX_CACHED_CHANGES = 1_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** One entry, as it is told. */
    record Entry(HostSpec spec, String address, String state, long startedMillis) {}

    /** One change. */
    record Change(long version, Entry entry) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version = 1;

    /** The list at the start, which has version 1. */
    EndpointCatalog(List<Entry> initial) {
        initial.forEach(entry -> entries.put(entry.spec().id(), entry));
    }

    long version() {
        return version;
    }

    /** Takes a change over; state {@code removed} takes the entry off the list. */
    Change apply(Entry entry) {
        if (entry.state().equals("removed")) {
            entries.remove(entry.spec().id());
        } else {
            entries.put(entry.spec().id(), entry);
        }
        Change change = new Change(++version, entry);
        changes.add(change);
        if (changes.size() > MAX_CACHED_CHANGES) {
            changes.remove(0);
        }
        return change;
    }

    /** The entry of a host, or null. */
    Entry get(String id) {
        return entries.get(id);
    }

    /** What is told of the changes after a version: these, or all where they are not kept any more. */
    List<Entry> entriesSince(long since) {
        if (!needsFullList(since)) {
            return changes.stream()
                    .filter(change -> change.version() > since)
                    .map(Change::entry)
                    .toList();
        }
        return List.copyOf(entries.values());
    }

    private boolean needsFullList(long since) {
        return since <= 0 || since > version || since < version - changes.size();
    }

    /** The line that tells what came after a version, or the whole list; addresses as they are to be told. */
    String changesSince(long since, UnaryOperator<String> address) {
        return line(needsFullList(since), entriesSince(since), address);
    }

    /** The whole list. */
    String fullList(UnaryOperator<String> address) {
        return line(true, entries.values(), address);
    }

    private String line(boolean full, Iterable<Entry> listed, UnaryOperator<String> address) {
        ObjectNode node = JSON.createObjectNode().put("version", version).put("full", full);
        ArrayNode servers = node.putArray("servers");
        listed.forEach(entry -> put(servers, entry, address));
        return node.toString();
    }

    private static void put(ArrayNode servers, Entry entry, UnaryOperator<String> address) {
        servers.addObject()
                .put("id", entry.spec().id())
                .put("addr", address.apply(entry.address()))
                .put("zone", entry.spec().zone())
                .put("kind", entry.spec().kind())
                .put("cell", entry.spec().cell())
                .put("state", entry.state())
                .put("weight", entry.spec().cores() * entry.spec().speed())
                .put("started_ms", entry.startedMillis());
    }
}
