package rillyard.proxy.discovery;

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
import rillyard.endpoints.DisabledHosts;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.upstream.UpstreamHost;

/** The hosts that discovery has named, and the numbers by which the module knows them. */
public final class EndpointRegistry {
    /** One list of discovery's, checked whole before anything of it is applied. */
    public record EndpointList(long version, boolean full, List<ListedEndpoint> hosts) {}

    /** One entry; an address may be absent where nothing is sent to it. */
    public record ListedEndpoint(String name, InetSocketAddress address, EndpointEntry entry) {}

    private static final Pattern HOST = Pattern.compile("host (\\d{1,19})");

    private final Map<String, UpstreamHost> byName = new HashMap<>();
    private final Map<Long, UpstreamHost> byId = new HashMap<>();
    private final DisabledHosts disabledHosts;
    private final double unixOffset;

    /** {@code unixOffset} is Unix time less the module's clock. */
    public EndpointRegistry(double unixOffset, DisabledHosts out) {
        this.disabledHosts = out;
        this.unixOffset = unixOffset;
    }

    public UpstreamHost get(long id) {
        return byId.get(id);
    }

    /** A line of the module's with the host's name: the people on call know hosts by names, the module by numbers. */
    public String hostNameOf(String line) {
        Matcher matcher = HOST.matcher(line);
        UpstreamHost host = matcher.find() ? byId.get(Long.parseLong(matcher.group(1))) : null;
        return host == null ? line : matcher.replaceFirst("host " + Matcher.quoteReplacement(host.name));
    }

    public Collection<UpstreamHost> all() {
        return byId.values();
    }

    public boolean anySendable() {
        for (UpstreamHost host : byId.values()) {
            if (host.sendable) {
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
    EndpointList read(JsonNode list) {
        JsonNode servers = list.path("servers");
        if (!list.isObject() || !servers.isArray() || !list.path("version").canConvertToLong()) {
            throw new IllegalArgumentException("not a list with version and servers");
        }
        List<ListedEndpoint> listed = new ArrayList<>(servers.size());
        for (JsonNode node : servers) {
            String name = node.path("id").asText("");
            InetSocketAddress address = ProxyConfig.address(node.path("addr").asText(""));
            EndpointEntry.Condition condition =
                    switch (node.path("state").asText("")) {
                        case "up" -> EndpointEntry.Condition.READY;
                        case "removed" -> EndpointEntry.Condition.GONE;
                        default -> EndpointEntry.Condition.TERMINATING; // nothing new goes to a state not known
                    };
            if (name.isEmpty() || (address == null && condition == EndpointEntry.Condition.READY)) {
                throw new IllegalArgumentException("an entry without id or address");
            }
            double started = node.path("started_ms").asDouble(0);
            EndpointEntry entry = new EndpointEntry(
                    number(name),
                    node.path("zone").asText(""),
                    node.path("kind").asText(""),
                    node.path("cell").asLong(0),
                    condition,
                    node.path("weight").asDouble(1),
                    started <= 0 ? 0 : Math.max(0, started - unixOffset));
            listed.add(new ListedEndpoint(name, address, entry));
        }
        return new EndpointList(list.path("version").asLong(), list.path("full").asBoolean(), listed);
    }

    /** Applies a list; returns the hosts to which nothing more may go as it was to go. */
    public Set<UpstreamHost> apply(EndpointList news) {
        Set<UpstreamHost> cut = new HashSet<>();
        Set<UpstreamHost> named = new HashSet<>();
        for (ListedEndpoint listed : news.hosts()) {
            EndpointEntry entry = listed.entry();
            UpstreamHost host = byName.get(listed.name());
            if (host == null) {
                host = new UpstreamHost(listed.name(), entry.id());
                byName.put(host.name, host);
                byId.put(host.id, host);
            }
            named.add(host);
            host.listed = entry.condition() != EndpointEntry.Condition.GONE;
            host.entry = entry;
            host.sendable = effective(host).condition() == EndpointEntry.Condition.READY;
            if (!host.sendable || !listed.address().equals(host.address)) {
                cut.add(host);
            }
            if (listed.address() != null) {
                host.address = listed.address();
            }
        }
        if (news.full()) {
            for (UpstreamHost upstreamHost : byId.values()) {
                if (!named.contains(upstreamHost)) {
                    upstreamHost.listed = false;
                    upstreamHost.sendable = false;
                    cut.add(upstreamHost);
                }
            }
        }
        return cut;
    }

    /** The names of listed hosts that discovery called ready, whatever operators did to them. */
    public Set<String> inUse() {
        Set<String> names = new HashSet<>();
        for (UpstreamHost host : byId.values()) {
            if (host.listed && host.entry.condition() == EndpointEntry.Condition.READY) {
                names.add(host.name);
            }
        }
        return names;
    }

    /** What was last told of a listed host, as if a list told it again. */
    public ListedEndpoint asTold(String name) {
        UpstreamHost host = byName.get(name);
        return new ListedEndpoint(name, host.address, host.entry);
    }

    /** A listed host as a list would tell that it is gone. */
    public ListedEndpoint asGone(String name) {
        UpstreamHost host = byName.get(name);
        EndpointEntry entry = host.entry;
        return new ListedEndpoint(
                name,
                host.address,
                new EndpointEntry(
                        entry.id(),
                        entry.zone(),
                        entry.machineKind(),
                        entry.cell(),
                        EndpointEntry.Condition.GONE,
                        entry.capacityHint(),
                        entry.onlineSince()));
    }

    /** The entries of a list as the module is to have them. */
    public List<EndpointEntry> effective(EndpointList news) {
        return news.hosts().stream()
                .map(listed -> disabledHosts.effective(listed.name(), listed.entry()))
                .toList();
    }

    private EndpointEntry effective(UpstreamHost host) {
        return disabledHosts.effective(host.name, host.entry);
    }

    /** A listed host of this name, or null. */
    public UpstreamHost listed(String name) {
        UpstreamHost host = byName.get(name);
        return host != null && host.listed ? host : null;
    }

    /** What operators did to a listed host has changed; returns what the module is to be told. */
    public EndpointEntry changedByHand(UpstreamHost host) {
        EndpointEntry entry = effective(host);
        host.sendable = entry.condition() == EndpointEntry.Condition.READY;
        return entry;
    }

    /** How many hosts are listed. */
    public int listedCount() {
        int n = 0;
        for (UpstreamHost host : byId.values()) {
            n += host.listed ? 1 : 0;
        }
        return n;
    }

    /** Guards against a fleet that churns for ever: a host that is gone and carries nothing is freed. */
    public void forgetGone() {
        byId.values().removeIf(host -> {
            boolean gone = !host.listed && host.calls == 0;
            if (gone) {
                byName.remove(host.name);
                disabledHosts.forget(host.name);
            }
            return gone;
        });
    }

    /**
     * The number of a host. It comes from the name alone, as the module's ring must have the same
     * order in every client proxy and after a restart; two names that collide move on by one.
     */
    private long number(String name) {
        UpstreamHost known = byName.get(name);
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
