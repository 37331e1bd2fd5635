package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.WatchEvent;
import rillyard.endpoints.DisabledHosts;
import rillyard.hotrestart.DisabledHostStore;
import rillyard.proxy.discovery.EndpointRegistry;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.upstream.UpstreamHost;

/** Disables and enables hosts as operators ask, and notifies the balancer. */
final class DisabledHostsUpdater {
    private final BalancerDriver driver;
    private final BalancerClock clock;
    private final EndpointRegistry endpoints;
    private final DisabledHosts disabledHosts;
    private final ProxyLog log;

    DisabledHostsUpdater(
            BalancerDriver driver,
            BalancerClock clock,
            EndpointRegistry endpoints,
            DisabledHosts disabledHosts,
            ProxyLog log) {
        this.driver = driver;
        this.clock = clock;
        this.endpoints = endpoints;
        this.disabledHosts = disabledHosts;
        this.log = log;
    }

    /** Returns whether a host of this name is listed or disabled. */
    boolean isKnownHost(String name) {
        return endpoints.findListed(name) != null || disabledHosts.contains(name);
    }

    /** Disables or enables a host; returns false if the host is not known. */
    boolean setDisabled(String name, boolean disabled) {
        if (!isKnownHost(name)) {
            return false;
        }
        if (disabled ? disabledHosts.disable(name) : disabledHosts.enable(name, clock.nowMillis())) {
            onChanged(Set.of(name));
        }
        return true;
    }

    /** Adopts the hosts that operators disabled or enabled in another process of this proxy. */
    void adopt(DisabledHostStore.Contents stored) {
        Map<String, Double> enabledAt = new HashMap<>();
        for (var enabled : stored.enabledAtUnixMillis().entrySet()) {
            enabledAt.put(enabled.getKey(), clock.fromUnixMillis(enabled.getValue()));
        }
        onChanged(disabledHosts.adopt(stored.disabled(), enabledAt));
    }

    private void onChanged(Set<String> names) {
        List<EndpointEntry> entries = new ArrayList<>();
        List<UpstreamHost> hosts = new ArrayList<>();
        for (String name : names) {
            log.info(() ->
                    "operator: host " + (disabledHosts.contains(name) ? "disabled" : "enabled") + ", host=" + name);
            UpstreamHost host = endpoints.findListed(name);
            if (host != null) {
                entries.add(endpoints.onDisabledChanged(host));
                hosts.add(host);
            }
        }
        if (!entries.isEmpty()) {
            driver.onEndpointsChanged(WatchEvent.DELTA, entries, hosts);
        }
    }
}
