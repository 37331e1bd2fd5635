package rillyard.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rillyard.balancer.EndpointEntry;
import rillyard.hostlist.TakenOut;

/** The hosts that discovery has named, and the numbers by which the module knows them. */
final class Hosts {
    /** One list of discovery's, checked whole before anything of it is applied. */
    record News(long version, boolean full, List<Listed> hosts) {}

    /** One entry; an address may be absent where nothing is sent to it. */
    record Listed(String name, InetSocketAddress address, EndpointEntry entry) {}

    private static final Pattern HOST = Pattern.compile("host (\\d{1,19})");

    private final Map<String, Host> byName = new HashMap<>();
    private final Map<Long, Host> byId = new HashMap<>();
    private final TakenOut out;
    private final double unixOffset;

    /** {@code unixOffset} is Unix time less the module's clock. */
    Hosts(double unixOffset, TakenOut out) {
        this.out = out;
        this.unixOffset = unixOffset;
    }

    Host get(long id) {
        return byId.get(id);
    }

    /** A line of the module's with the host's name: the people on call know hosts by names, the module by numbers. */
    String named(String line) {
        Matcher m = HOST.matcher(line);
        Host h = m.find() ? byId.get(Long.parseLong(m.group(1))) : null;
        return h == null ? line : m.replaceFirst("host " + Matcher.quoteReplacement(h.name));
    }

    Collection<Host> all() {
        return byId.values();
    }

    boolean anySendable() {
        for (Host h : byId.values()) {
            if (h.sendable) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reads a list in discovery's form.
     *
     * @throws IllegalArgumentException if it is not of that form; nothing has been changed then
     */
    News read(JsonNode list) {
        JsonNode servers = list.path("servers");
        if (!list.isObject() || !servers.isArray() || !list.path("version").canConvertToLong()) {
            throw new IllegalArgumentException("not a list with version and servers");
        }
        List<Listed> listed = new ArrayList<>(servers.size());
        for (JsonNode s : servers) {
            String name = s.path("id").asText("");
            InetSocketAddress address = Config.address(s.path("addr").asText(""));
            EndpointEntry.Condition condition =
                    switch (s.path("state").asText("")) {
                        case "up" -> EndpointEntry.Condition.READY;
                        case "removed" -> EndpointEntry.Condition.GONE;
                        default -> EndpointEntry.Condition.TERMINATING; // nothing new goes to a state not known
                    };
            if (name.isEmpty() || (address == null && condition == EndpointEntry.Condition.READY)) {
                throw new IllegalArgumentException("an entry without id or address");
            }
            double started = s.path("started_ms").asDouble(0);
            EndpointEntry entry = new EndpointEntry(
                    number(name),
                    s.path("zone").asText(""),
                    s.path("kind").asText(""),
                    s.path("cell").asLong(0),
                    condition,
                    s.path("weight").asDouble(1),
                    started <= 0 ? 0 : Math.max(0, started - unixOffset));
            listed.add(new Listed(name, address, entry));
        }
        return new News(list.path("version").asLong(), list.path("full").asBoolean(), listed);
    }

    /** Applies a list; returns the hosts to which nothing more may go as it was to go. */
    Set<Host> apply(News news) {
        Set<Host> cut = new HashSet<>();
        Set<Host> named = new HashSet<>();
        for (Listed p : news.hosts()) {
            EndpointEntry e = p.entry();
            Host h = byName.get(p.name());
            if (h == null) {
                h = new Host(p.name(), e.id());
                byName.put(h.name, h);
                byId.put(h.id, h);
            }
            named.add(h);
            h.listed = e.condition() != EndpointEntry.Condition.GONE;
            h.told = e;
            h.sendable = effective(h).condition() == EndpointEntry.Condition.READY;
            if (!h.sendable || !p.address().equals(h.address)) {
                cut.add(h);
            }
            if (p.address() != null) {
                h.address = p.address();
            }
        }
        if (news.full()) {
            for (Host h : byId.values()) {
                if (!named.contains(h)) {
                    h.listed = false;
                    h.sendable = false;
                    cut.add(h);
                }
            }
        }
        return cut;
    }

    /** The names of listed hosts that discovery called ready, whatever operators did to them. */
    Set<String> inUse() {
        Set<String> names = new HashSet<>();
        for (Host h : byId.values()) {
            if (h.listed && h.told.condition() == EndpointEntry.Condition.READY) {
                names.add(h.name);
            }
        }
        return names;
    }

    /** What was last told of a listed host, as if a list told it again. */
    Listed asTold(String name) {
        Host h = byName.get(name);
        return new Listed(name, h.address, h.told);
    }

    /** A listed host as a list would tell that it is gone. */
    Listed asGone(String name) {
        Host h = byName.get(name);
        EndpointEntry t = h.told;
        return new Listed(
                name,
                h.address,
                new EndpointEntry(
                        t.id(),
                        t.zone(),
                        t.kind(),
                        t.cell(),
                        EndpointEntry.Condition.GONE,
                        t.capacityHint(),
                        t.onlineSince()));
    }

    /** The entries of a list as the module is to have them. */
    List<EndpointEntry> effective(News news) {
        return news.hosts().stream()
                .map(l -> out.effective(l.name(), l.entry()))
                .toList();
    }

    private EndpointEntry effective(Host h) {
        return out.effective(h.name, h.told);
    }

    /** A listed host of this name, or null. */
    Host listed(String name) {
        Host h = byName.get(name);
        return h != null && h.listed ? h : null;
    }

    /** What operators did to a listed host has changed; returns what the module is to be told. */
    EndpointEntry changedByHand(Host h) {
        EndpointEntry e = effective(h);
        h.sendable = e.condition() == EndpointEntry.Condition.READY;
        return e;
    }

    /** How many hosts are listed. */
    int listedCount() {
        int n = 0;
        for (Host h : byId.values()) {
            n += h.listed ? 1 : 0;
        }
        return n;
    }

    /** Guards against a fleet that churns for ever: a host that is gone and carries nothing is freed. */
    void forgetGone() {
        byId.values().removeIf(h -> {
            boolean gone = !h.listed && h.calls == 0;
            if (gone) {
                byName.remove(h.name);
                out.forget(h.name);
            }
            return gone;
        });
    }

    /**
     * The number of a host. It comes from the name alone, as the module's ring must have the same
     * order in every client proxy and after a restart; two names that collide move on by one.
     */
    private long number(String name) {
        Host known = byName.get(name);
        if (known != null) {
            return known.id;
        }
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * 0x100000001b3L;
        }
        h &= Long.MAX_VALUE;
        while (byId.containsKey(h)) {
            h = (h + 1) & Long.MAX_VALUE;
        }
        return h;
    }
}
