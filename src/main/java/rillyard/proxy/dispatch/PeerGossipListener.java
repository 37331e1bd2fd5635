package rillyard.proxy.dispatch;

import rillyard.balancer.Balancer;
import rillyard.balancer.SubsetPosition;
import rillyard.proxy.upstream.UpstreamHost;

/** Passes on to the balancer what other proxies have observed, of hosts that this proxy's own list names. */
record PeerGossipListener(BalancerDriver driver) implements PeerGossip.Listener {
    @Override
    public void eject(String host, double trialDelayMillis) {
        setEjected(host, true, trialDelayMillis);
    }

    @Override
    public void readmit(String host, double trialDelayMillis) {
        setEjected(host, false, trialDelayMillis);
    }

    private void setEjected(String hostName, boolean ejected, double trialDelayMillis) {
        UpstreamHost host = driver.endpoints().findListed(hostName);
        if (host != null) {
            driver.notifyBalancer((Balancer balancer) ->
                    balancer.onFleetEjection(driver.now(), host.id(), ejected, trialDelayMillis));
        }
    }

    @Override
    public void moveSubset(SubsetPosition position) {
        driver.notifyBalancer(balancer -> balancer.onSubsetPosition(position));
    }

    @Override
    public void log(String line) {
        driver.log().info(line);
    }
}
