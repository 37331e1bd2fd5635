package rillyard.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rillyard.balancer.EndpointEntry;
import rillyard.endpoints.DisabledHosts;
import rillyard.endpoints.HostStartClock;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * Registry of the hosts that discovery has listed, by name and by the id that the balancer uses for them.
 *
 * <p>For hosts that are disabled by an operator, that state overrides discovery's entry. Confined to the event loop.
 */
public final class EndpointRegistry {
    /**
     * An endpoint list from discovery.
     *
     * @param version discovery's version of the list
     * @param full whether the list names all hosts, so that all others are removed
     * @param hosts the entries, in discovery's order
     */
    public record EndpointList(long version, boolean full, List<ListedEndpoint> hosts) {}

    /**
     * One entry of a list.
     *
     * @param name discovery's name of the host
     * @param address the host's address; may be null unless the host is ready
     * @param entry the entry in the balancer's form
     * @param startedUnixMillis the start of the host as stated by discovery, 0 for long ago
     */
    public record ListedEndpoint(
            String name, InetSocketAddress address, EndpointEntry entry, double startedUnixMillis) {}

    private static final Pattern HOST_ID = Pattern.compile("\\bhost=(\\d{1,19})");

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Map<String, UpstreamHost> hostsByName = new HashMap<>();
    private final Map<Long, UpstreamHost> hostsById = new HashMap<>();
    private final Set<UpstreamHost> unlisted = new HashSet<>();
    private final DisabledHosts disabledHosts;
    private final HostStartClock hostStartClock;
    private final ReplacedHosts replacedHosts = new ReplacedHosts(this);

    /**
     * Creates a registry without hosts.
     *
     * @param hostStartClock converts the start times of hosts; owned by the registry
     * @param disabledHosts the hosts that operators disabled; owned by the caller
     */
    public EndpointRegistry(HostStartClock hostStartClock, DisabledHosts disabledHosts) {
        this.disabledHosts = disabledHosts;
        this.hostStartClock = hostStartClock;
    }

    /** Returns the host with an id, or null if there is none. */
    public UpstreamHost get(long id) {
        return hostsById.get(id);
    }

    /** Returns the host with a name if it is on the endpoint list, else null. */
    public UpstreamHost findListed(String name) {
        UpstreamHost host = hostsByName.get(name);
        return host != null && host.isListed() ? host : null;
    }

    /** Returns a view of all hosts; hosts that are off the list remain until {@link #removeUnused}. */
    public Collection<UpstreamHost> hosts() {
        return hostsById.values();
    }

    /** Returns a line of the balancer's log with the host's id replaced by its name, which operators know. */
    public String replaceHostId(String line) {
        Matcher matcher = HOST_ID.matcher(line);
        UpstreamHost host = matcher.find() ? hostsById.get(Long.parseLong(matcher.group(1))) : null;
        return host == null ? line : matcher.replaceFirst("host=" + Matcher.quoteReplacement(host.name()));
    }

    /** Returns whether there is a host to which new requests may be sent. */
    public boolean hasSendableHost() {
        for (UpstreamHost host : hostsById.values()) {
            if (host.isSendable()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the names of the hosts that discovery lists as ready, including disabled ones. */
    public Set<String> readyHostNames() {
        Set<String> names = new HashSet<>();
        for (UpstreamHost host : hostsById.values()) {
            if (host.isListed() && host.entry().condition() == EndpointEntry.Condition.READY) {
                names.add(host.name());
            }
        }
        return names;
    }

    /** Returns the number of listed hosts. */
    public int listedCount() {
        return hostsById.size() - unlisted.size();
    }

    // --- lists

    /**
     * Returns a copy of a received or cached list with the start times of its hosts on the balancer's clock. To a
     * delta, entries are added for other hosts if it shows that they started later than was assumed.
     *
     * @param isCached whether it is the list that the process was started with
     * @param nowMillis when it was received, on the balancer's clock
     */
    public EndpointList withStartTimes(EndpointList list, boolean isCached, double nowMillis) {
        Map<String, Double> startedUnixMillis = new LinkedHashMap<>();
        for (ListedEndpoint listed : list.hosts()) {
            startedUnixMillis.put(listed.name(), listed.startedUnixMillis());
        }
        Map<String, Double> startedAtMillis = hostStartClock.onList(isCached, startedUnixMillis, nowMillis);
        List<ListedEndpoint> hosts = new ArrayList<>(list.hosts().size());
        for (ListedEndpoint listed : list.hosts()) {
            hosts.add(withStartTime(listed, startedAtMillis.get(listed.name())));
        }
        if (!list.full()) {
            startedAtMillis.forEach((name, startMillis) -> {
                if (!startedUnixMillis.containsKey(name) && findListed(name) != null) {
                    hosts.add(withStartTime(lastAnnounced(name), startMillis));
                }
            });
        }
        return new EndpointList(list.version(), list.full(), hosts);
    }

    private static ListedEndpoint withStartTime(ListedEndpoint listed, double startedAtMillis) {
        EndpointEntry entry = listed.entry();
        EndpointEntry started = new EndpointEntry(
                entry.id(), entry.zone(), entry.machineKind(), entry.cell(), entry.condition(), startedAtMillis);
        return new ListedEndpoint(listed.name(), listed.address(), started, listed.startedUnixMillis());
    }

    /** Returns a list in which the hosts are removed whose address discovery has given to another host. */
    public EndpointList withReplacedHosts(EndpointList list) {
        return replacedHosts.withRemovals(list, hostsById.values());
    }

    /**
     * Applies a list.
     *
     * @return the hosts that may not receive requests any more, or not in their previous process
     */
    public Set<UpstreamHost> apply(EndpointList list) {
        Set<UpstreamHost> withdrawn = new HashSet<>();
        Set<UpstreamHost> named = new HashSet<>();
        for (ListedEndpoint listed : list.hosts()) {
            UpstreamHost host = hostOf(listed);
            named.add(host);
            if (announce(host, listed)) {
                withdrawn.add(host);
            }
        }
        if (list.full()) {
            for (UpstreamHost host : hostsById.values()) {
                if (!named.contains(host)) {
                    host.onDelisted();
                    unlisted.add(host);
                    withdrawn.add(host);
                }
            }
        }
        return withdrawn;
    }

    private UpstreamHost hostOf(ListedEndpoint listed) {
        UpstreamHost host = hostsByName.get(listed.name());
        if (host == null) {
            host = new UpstreamHost(listed.name(), listed.entry().id());
            hostsByName.put(host.name(), host);
            hostsById.put(host.id(), host);
        }
        return host;
    }

    /** Records an entry; returns whether the host may not receive requests any more, or not in its previous process. */
    private boolean announce(UpstreamHost host, ListedEndpoint listed) {
        int previousIncarnation = host.incarnation();
        host.onAnnounced(listed.entry(), listed.address(), listed.startedUnixMillis());
        if (host.isListed()) {
            unlisted.remove(host);
        } else {
            unlisted.add(host);
        }
        host.setSendable(isReady(effectiveEntry(host)));
        return !host.isSendable() || host.incarnation() != previousIncarnation;
    }

    /** Returns the last entry of a known host, for use in another list. */
    public ListedEndpoint lastAnnounced(String name) {
        UpstreamHost host = hostsByName.get(name);
        return new ListedEndpoint(name, host.address(), host.entry(), host.startedUnixMillis());
    }

    /** Returns an entry that removes a known host, in the form in which discovery announces removals. */
    public ListedEndpoint asRemoved(String name) {
        return asRemoved(lastAnnounced(name));
    }

    /** Returns the entry of a host, changed to one that removes it. */
    ListedEndpoint asRemoved(ListedEndpoint listed) {
        EndpointEntry entry = listed.entry();
        EndpointEntry removed = new EndpointEntry(
                entry.id(),
                entry.zone(),
                entry.machineKind(),
                entry.cell(),
                EndpointEntry.Condition.GONE,
                entry.startedAtMillis());
        return new ListedEndpoint(listed.name(), listed.address(), removed, listed.startedUnixMillis());
    }

    /** Forgets the hosts that are off the list and unused, so that replaced hosts do not accumulate. */
    public void removeUnused() {
        for (Iterator<UpstreamHost> hosts = unlisted.iterator(); hosts.hasNext(); ) {
            UpstreamHost host = hosts.next();
            if (host.isRemovable()) {
                hosts.remove();
                hostsById.remove(host.id());
                hostsByName.remove(host.name());
                disabledHosts.forget(host.name());
            }
        }
    }

    // --- disabled hosts

    /** Returns the entries of a list with the disabled hosts applied, as the balancer is to receive them. */
    public List<EndpointEntry> effective(EndpointList list) {
        return list.hosts().stream()
                .map(listed -> disabledHosts.effective(listed.name(), listed.entry()))
                .toList();
    }

    private EndpointEntry effectiveEntry(UpstreamHost host) {
        return disabledHosts.effective(host.name(), host.entry());
    }

    private static boolean isReady(EndpointEntry entry) {
        return entry.condition() == EndpointEntry.Condition.READY;
    }

    /** Updates a listed host after it was disabled or enabled; returns its entry for the balancer. */
    public EndpointEntry onDisabledChanged(UpstreamHost host) {
        EndpointEntry entry = effectiveEntry(host);
        host.setSendable(isReady(entry));
        return entry;
    }

    // --- ids

    /**
     * Returns the id of a host: the 63-bit FNV-1a hash of its name, incremented while another host has that id.
     *
     * <p>It depends on the name alone, as the balancer's hash ring must have the same order in every proxy and after a
     * restart.
     */
    long idOf(String name) {
        UpstreamHost known = hostsByName.get(name);
        if (known != null) {
            return known.id();
        }
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        hash &= Long.MAX_VALUE;
        while (hostsById.containsKey(hash)) {
            hash = (hash + 1) & Long.MAX_VALUE;
        }
        return hash;
    }
}
