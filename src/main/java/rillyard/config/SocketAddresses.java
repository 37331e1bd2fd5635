package rillyard.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Returns the address of an {@code IP:port} text with a port from 0 to 65535, or null if it is malformed; host
     * names are not resolved.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
