package rillyard.proxy.discovery;

import rillyard.balancer.WatchEvent;

/** Receives the endpoint lists of an {@link EndpointWatch} and its failures, on the event loop. */
public interface EndpointListListener {
    /**
     * Is called once, ahead of all other methods, when the watch starts.
     *
     * @param cached the endpoint list of the configuration; empty if it has none that can be read
     * @param openWatch opens or reopens the watch; must be called on the event loop. If discovery is polled, the watch
     *     opens only when this is called.
     */
    void onWatchStarting(EndpointRegistry.EndpointList cached, Runnable openWatch);

    /**
     * Is called with each list that the watch has received and accepted.
     *
     * @param kind {@link WatchEvent#FULL} or {@link WatchEvent#DELTA}
     * @param list the list, which is valid
     */
    void onEndpointList(WatchEvent kind, EndpointRegistry.EndpointList list);

    /** Is called when a polled watch has ended; it stays closed until the listener opens it. */
    void onWatchFailed();
}
