package rillyard.proxy.dispatch;

import java.util.Set;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.SubsetPosition;

/** Exchanges observations of hosts with other proxies. All calls are on the proxy's event loop. */
public interface PeerGossip {
    /** Receives the decisions based on observations of other proxies; hosts that are not listed are ignored. */
    interface Listener {
        /** Ejects a host, which may get a half-open probe after {@code probeDelayMillis}. */
        void eject(String host, double probeDelayMillis);

        /** Lets an ejected host get a half-open probe after {@code probeDelayMillis}, or sooner if it is due. */
        void readmit(String host, double probeDelayMillis);

        /** Sets this proxy's subset position. */
        void moveSubset(SubsetPosition position);

        /** Logs a line. */
        void log(String line);
    }

    /** Records that an attempt at a host has ended at {@code nowMillis} of the proxy's clock. */
    void onAttemptEnded(String host, AttemptOutcome outcome, double nowMillis);

    /**
     * Does the work that is due at {@code nowMillis} of the proxy's clock; called a few times a second.
     *
     * @param hosts names of the hosts in use
     */
    void step(double nowMillis, Set<String> hosts, Listener listener);
}
