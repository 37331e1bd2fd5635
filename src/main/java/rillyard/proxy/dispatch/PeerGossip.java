package rillyard.proxy.dispatch;

import java.util.Set;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.SubsetPosition;

/** Whoever carries news of hosts between proxies, where somebody does. All calls are on the proxy's loop. */
public interface PeerGossip {
    /** What the others found out; hosts that are not listed are passed over. */
    interface Listener {
        /** Nothing goes to the host for so long (ms), then a trial. */
        void eject(String host, double wait);

        /** The host may be tried in so long (ms). */
        void readmit(String host, double wait);

        /** Where this proxy's pool lies from now on. */
        void moveSubset(SubsetPosition position);

        /** Tells the people on call. */
        void log(String line);
    }

    /** An attempt at a host has ended at a time (ms) of the proxy's clock. */
    void onAttemptEnded(String host, AttemptOutcome result, double now);

    /** Some time has passed; {@code hosts} are listed. */
    void step(double now, Set<String> hosts, Listener heed);
}
