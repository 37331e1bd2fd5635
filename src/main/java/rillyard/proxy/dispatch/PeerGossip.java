package rillyard.proxy.dispatch;

import java.util.Set;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.SubsetPosition;

/** Exchanges observations of hosts with other proxies. All calls are on the proxy's event loop. */
public interface PeerGossip {
    /** Receives what other proxies have observed; hosts that are not listed are ignored. */
    interface Listener {
        /** Ejects a host; after {@code trialDelayMillis} it may get a half-open probe. */
        void eject(String host, double trialDelayMillis);

        /** Readmits an ejected host to a half-open probe after {@code trialDelayMillis}. */
        void readmit(String host, double trialDelayMillis);

        /** Sets this proxy's position among the host subsets. */
        void moveSubset(SubsetPosition position);

        /** Logs a line. */
        void log(String line);
    }

    /** An attempt at a host has ended at time {@code now} (ms) of the proxy's clock. */
    void onAttemptEnded(String host, AttemptOutcome result, double now);

    /**
     * Advances to time {@code now} (ms) of the proxy's clock; called a few times a second.
     *
     * @param hosts names of the hosts in use
     */
    void step(double now, Set<String> hosts, Listener listener);
}
