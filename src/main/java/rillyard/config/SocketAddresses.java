package rillyard.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as people write them. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /** An {@code IP:port} with a port from 0 to 65535, or null if it is none; names are not looked up. */
    public static InetSocketAddress parse(String s) {
        int colon = s.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(s.substring(0, colon));
        try {
            int port = ip == null ? -1 : Integer.parseInt(s.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
