package rillyard.membership;

/** Where a member is reached: an IPv4 address, its first byte the highest, and a port from 1 to 65535. */
public record MemberAddress(int ip, int port) {
    public MemberAddress {
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("port " + port + ", expected 1 to 65535");
        }
    }

    @Override
    public String toString() {
        return (ip >>> 24) + "." + (ip >> 16 & 255) + "." + (ip >> 8 & 255) + "." + (ip & 255) + ":" + port;
    }
}
