package rillyard.testserver;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * The versioned endpoint list of the simulated discovery service, with its latest changes. Confined to discovery's
 * event loop.
 */
final class EndpointCatalog {
    /**
     * Number of changes cached for clients that continue from an earlier version; an older version gets the full
     * list.
     */
    private static final int MAX_CACHED_CHANGES = 1_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One host as it is listed.
     *
     * @param spec the host's identity and capacity
     * @param address where the host listens, {@code IP:port}
     * @param state {@code up}, {@code draining} or {@code removed}
     * @param startedMillis Unix time in milliseconds at which the host started, or 0 for a host that was warmed up at
     *     the cluster's start
     */
    record Entry(HostSpec spec, String address, String state, long startedMillis) {}

    /** A change of one entry, and the version of the list that it led to. */
    record Change(long version, Entry entry) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version = 1;

    /** Creates a list of version 1 with these entries. */
    EndpointCatalog(List<Entry> initial) {
        initial.forEach(entry -> entries.put(entry.spec().id(), entry));
    }

    /** Returns the current version; each change increments it. */
    long version() {
        return version;
    }

    /**
     * Applies a change and returns it with its version. An entry in the state {@code removed} is taken off the list.
     */
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

    /** Returns a host's entry, or null if the list has none. */
    Entry get(String id) {
        return entries.get(id);
    }

    /**
     * Returns the entries that changed after a version, one for each change, or all entries if those changes are no
     * longer cached.
     */
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

    /**
     * Returns the JSON line for the changes after a version, or for the full list if those changes are no longer
     * cached.
     *
     * @param since version that the client has
     * @param address maps a host's address to the address that is advertised to the client
     */
    String changesSince(long since, UnaryOperator<String> address) {
        return line(needsFullList(since), entriesSince(since), address);
    }

    /**
     * Returns the JSON line for the full list.
     *
     * @param address maps a host's address to the address that is advertised to the client
     */
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
