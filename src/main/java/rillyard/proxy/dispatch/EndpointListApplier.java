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

/** Applies endpoint lists, of which the guard may keep hosts that a full list lacks in use for a while. */
final class EndpointListApplier {
    private final BalancerDriver driver;
    private final EndpointRegistry endpoints;
    private final EndpointListGuard guard;
    private final ProxyLog log;

    /** Creates an applier; {@code guard} is null where full lists are always believed. */
    EndpointListApplier(BalancerDriver driver, EndpointRegistry endpoints, EndpointListGuard guard, ProxyLog log) {
        this.driver = driver;
        this.endpoints = endpoints;
        this.guard = guard;
        this.log = log;
    }

    /** Applies a list and notifies the balancer. */
    void apply(WatchEvent kind, EndpointList list) {
        EndpointList believed = guard == null ? list : withGuardedHosts(list);
        Set<UpstreamHost> drained = endpoints.apply(believed);
        driver.onEndpointsChanged(kind, endpoints.effective(believed), drained);
        endpoints.removeUnused();
    }

    /** Ends the use of hosts that the guard has kept for long enough. */
    void removeExpired() {
        if (guard == null) {
            return;
        }
        List<ListedEndpoint> gone = new ArrayList<>();
        for (String name : guard.expired(driver.now())) {
            if (endpoints.findListed(name) != null) {
                log.info("watch: missing host removed, host=" + name);
                gone.add(endpoints.asRemoved(name));
            }
        }
        if (!gone.isEmpty()) {
            apply(WatchEvent.DELTA, new EndpointList(0, false, gone));
        }
    }

    /** Returns the list with the hosts that the guard keeps although the list lacks them. */
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
        Set<String> kept = guard.onFullList(driver.now(), endpoints.readyHostNames(), named);
        if (kept.isEmpty()) {
            return list;
        }
        log.info("watch: full list not believed for now, hosts=" + named.size() + " missing_in_use=" + kept.size());
        List<ListedEndpoint> hosts = new ArrayList<>(list.hosts());
        for (String name : kept) {
            hosts.add(endpoints.lastAnnounced(name));
        }
        return new EndpointList(list.version(), true, hosts);
    }
}
