package rillyard.testserver;

import java.net.InetAddress;

/** Where each caller of discovery is told that a host is: with a relay between them each has its own way there. */
@FunctionalInterface
public interface AdvertisedAddresses {
    /** All are told where the hosts are. */
    AdvertisedAddresses UNCHANGED = (caller, address) -> address;

    /**
     * The address to tell.
     *
     * @param caller where the call came from
     * @param address where the host listens, {@code IP:port}
     */
    String address(InetAddress caller, String address);
}
