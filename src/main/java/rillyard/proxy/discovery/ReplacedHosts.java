package rillyard.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.EndpointEntry;
import rillyard.proxy.discovery.EndpointRegistry.EndpointList;
import rillyard.proxy.discovery.EndpointRegistry.ListedEndpoint;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * Recognizes hosts whose address discovery has given to another host, before it announces their removal: the process at
 * that address is the other host's, and what is sent to the former one would reach it.
 *
 * <p>Hosts that are listed with one address for the first time in the same list stay as they are. Confined to the event
 * loop.
 */
final class ReplacedHosts {
    /** The process of a host, as discovery describes it. */
    private record HostProcess(InetSocketAddress address, double startedUnixMillis) {
        /** Compared by field: the equals of a record is linked at run time, which would slow down the start. */
        boolean isThatOf(ListedEndpoint listed) {
            return address.equals(listed.address()) && startedUnixMillis == listed.startedUnixMillis();
        }
    }

    private final EndpointRegistry registry;
    private final Map<String, HostProcess> replaced = new HashMap<>();

    ReplacedHosts(EndpointRegistry registry) {
        this.registry = registry;
    }

    /** Returns a list in which the hosts that it shows to be replaced, or that still are, are removed. */
    EndpointList withRemovals(EndpointList list, Collection<UpstreamHost> knownHosts) {
        Set<String> named = new HashSet<>();
        Set<InetSocketAddress> taken = new HashSet<>();
        for (ListedEndpoint listed : list.hosts()) {
            named.add(listed.name());
            if (isReady(listed) && !isStillReplaced(listed) && isNewProcess(listed)) {
                taken.add(listed.address());
            }
        }
        List<ListedEndpoint> hosts = new ArrayList<>(list.hosts().size());
        for (ListedEndpoint listed : list.hosts()) {
            hosts.add(isReplaced(listed, taken) ? registry.asRemoved(listed) : listed);
        }
        for (UpstreamHost host : taken.isEmpty() ? List.<UpstreamHost>of() : knownHosts) {
            if (host.isListed() && !named.contains(host.name()) && taken.contains(host.address())) {
                replaced.put(host.name(), new HostProcess(host.address(), host.startedUnixMillis()));
                hosts.add(registry.asRemoved(host.name()));
            }
        }
        if (list.full()) {
            replaced.keySet().retainAll(named);
        }
        return new EndpointList(list.version(), list.full(), hosts);
    }

    private boolean isReplaced(ListedEndpoint listed, Set<InetSocketAddress> taken) {
        if (isStillReplaced(listed)) {
            return true;
        }
        replaced.remove(listed.name());
        boolean isReplacedNow = isReady(listed) && !isNewProcess(listed) && taken.contains(listed.address());
        if (isReplacedNow) {
            replaced.put(listed.name(), new HostProcess(listed.address(), listed.startedUnixMillis()));
        }
        return isReplacedNow;
    }

    private boolean isStillReplaced(ListedEndpoint listed) {
        HostProcess former = replaced.get(listed.name());
        return former != null && isReady(listed) && former.isThatOf(listed);
    }

    private boolean isNewProcess(ListedEndpoint listed) {
        UpstreamHost known = registry.findListed(listed.name());
        return known == null
                || !listed.address().equals(known.address())
                || listed.startedUnixMillis() != known.startedUnixMillis();
    }

    private static boolean isReady(ListedEndpoint listed) {
        return listed.entry().condition() == EndpointEntry.Condition.READY;
    }
}
