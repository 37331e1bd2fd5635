package rillyard.membership;

/**
 * The IPv4 address and UDP port of a member.
 *
 * @param ip the IPv4 address, its first byte the most significant
 * @param port the port, from 1 to 65535
 */
public record MemberAddress(int ip, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks the range of the port. */
    public MemberAddress {
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + ", expected 1 to 65535");
        }
    }

    @Override
    public String toString() {
        return (ip >>> 24) + "." + ((ip >> 16) & 255) + "." + ((ip >> 8) & 255) + "." + (ip & 255) + ":" + port;
    }
}
