package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rillyard.balancer.WatchEvent;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.discovery.EndpointRegistry;
import rillyard.proxy.discovery.EndpointRegistry.EndpointList;
import rillyard.proxy.discovery.EndpointRegistry.ListedEndpoint;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.upstream.UpstreamHost;

/** Applies endpoint lists; hosts that a full list lacks may stay in use for a while if the guard retains them. */
final class EndpointListApplier {
    private final BalancerDriver driver;
    private final EndpointRegistry endpoints;
    private final EndpointListGuard guard;
    private final ProxyLog log;

    /** Creates an applier; {@code guard} is null if full lists are always applied as received. */
    EndpointListApplier(BalancerDriver driver, EndpointRegistry endpoints, EndpointListGuard guard, ProxyLog log) {
        this.driver = driver;
        this.endpoints = endpoints;
        this.guard = guard;
        this.log = log;
    }

    /** Applies a list and notifies the balancer. */
    void apply(WatchEvent kind, EndpointList list) {
        EndpointList guarded = endpoints.withReplacedHosts(guard == null ? list : withGuardedHosts(list));
        Set<UpstreamHost> drained = endpoints.apply(guarded);
        driver.onEndpointsChanged(kind, endpoints.effective(guarded), drained);
        endpoints.removeUnused();
    }

    /** Removes the hosts that the guard retains no longer. */
    void removeExpired() {
        if (guard == null) {
            return;
        }
        List<ListedEndpoint> removed = new ArrayList<>();
        for (String name : guard.expired(driver.nowMillis())) {
            if (endpoints.findListed(name) != null) {
                log.info("watch: missing host removed, host=" + name);
                removed.add(endpoints.asRemoved(name));
            }
        }
        if (!removed.isEmpty()) {
            apply(WatchEvent.DELTA, new EndpointList(0, false, removed));
        }
    }

    /** Returns the list, extended by the hosts that it lacks and that the guard retains. */
    private EndpointList withGuardedHosts(EndpointList list) {
        if (!list.full()) {
            for (ListedEndpoint listed : list.hosts()) {
                guard.onNamed(listed.name());
            }
            return list;
        }
        Set<String> named = new HashSet<>();
        for (ListedEndpoint listed : list.hosts()) {
            named.add(listed.name());
        }
        Set<String> retained = guard.onFullList(driver.nowMillis(), endpoints.readyHostNames(), named);
        if (retained.isEmpty()) {
            return list;
        }
        log.info("watch: full list lacks hosts that stay in use, hosts=" + named.size() + " missing_in_use="
                + retained.size());
        List<ListedEndpoint> hosts = new ArrayList<>(list.hosts());
        for (String name : retained) {
            hosts.add(endpoints.lastAnnounced(name));
        }
        return new EndpointList(list.version(), true, hosts);
    }
}
