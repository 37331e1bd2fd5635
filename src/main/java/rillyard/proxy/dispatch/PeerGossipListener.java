package rillyard.proxy.dispatch;

import rillyard.balancer.Balancer;
import rillyard.balancer.SubsetPosition;
import rillyard.proxy.upstream.UpstreamHost;

/** Passes the decisions of the peer gossip on to the balancer, for hosts on this proxy's own endpoint list. */
record PeerGossipListener(BalancerDriver driver) implements PeerGossip.Listener {
    @Override
    public void eject(String host, double probeDelayMillis) {
        setEjected(host, true, probeDelayMillis);
    }

    @Override
    public void readmit(String host, double probeDelayMillis) {
        setEjected(host, false, probeDelayMillis);
    }

    private void setEjected(String hostName, boolean ejected, double probeDelayMillis) {
        UpstreamHost host = driver.endpoints().findListed(hostName);
        if (host != null) {
            driver.notifyBalancer((Balancer balancer) ->
                    balancer.onFleetEjection(driver.nowMillis(), host.id(), ejected, probeDelayMillis));
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
