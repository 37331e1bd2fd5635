package rillyard.testserver;

import java.net.InetAddress;

/**
 * Maps a host's address to the one that discovery advertises to a given client. With a relay between proxies and
 * hosts, each proxy gets the address of its own relay. Called on discovery's event loop.
 */
@FunctionalInterface
public interface AdvertisedAddresses {
    /** Advertises each host's own address to every client. */
    AdvertisedAddresses UNCHANGED = (caller, address) -> address;

    /**
     * Returns the address to advertise, as {@code IP:port}.
     *
     * @param caller IP address of the discovery client
     * @param address address that the host listens on, {@code IP:port}
     */
    String address(InetAddress caller, String address);
}
