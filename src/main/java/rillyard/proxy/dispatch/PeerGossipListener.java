package rillyard.proxy.dispatch;

import rillyard.balancer.Balancer;
import rillyard.balancer.SubsetPosition;
import rillyard.proxy.upstream.UpstreamHost;

/** What neighbours found out goes to the module, of hosts that this proxy's own list names. */
record PeerGossipListener(BalancerDriver dispatcher) implements PeerGossip.Listener {
    @Override
    public void eject(String host, double wait) {
        word(host, true, wait);
    }

    @Override
    public void readmit(String host, double wait) {
        word(host, false, wait);
    }

    private void word(String host, boolean left, double wait) {
        UpstreamHost upstreamHost = dispatcher.endpoints().findListed(host);
        if (upstreamHost != null) {
            dispatcher.tell(
                    (Balancer balancer) -> balancer.onFleetEjection(dispatcher.now(), upstreamHost.id(), left, wait));
        }
    }

    @Override
    public void moveSubset(SubsetPosition position) {
        dispatcher.tell(balancer -> balancer.onSubsetPosition(position));
    }

    @Override
    public void log(String line) {
        dispatcher.log().info(line);
    }
}
