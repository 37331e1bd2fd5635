package rillyard.membership.net;

import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import rillyard.config.InvalidConfigException;
import rillyard.config.SocketAddresses;
import rillyard.config.TomlTable;
import rillyard.membership.MemberAddress;
import rillyard.membership.MemberIdentity;
import rillyard.membership.MembershipSettings;
import rillyard.membership.MessageCodec;

/** Reads the configuration of a member from a file such as {@code deploy/fleet.toml}. */
public final class FleetConfigReader {
    private static final int KEY_BYTES = 32;
    private static final int MAX_KEYS = 2;
    private static final int HEX_DIGITS_PER_BYTE = 2;

    /** Placeholder for a missing or invalid address, which is reported as a problem. */
    private static final MemberAddress INVALID_ADDRESS = new MemberAddress(0x7F000001, 1);

    private FleetConfigReader() {}

    /**
     * Reads a file. The member's name is the value of {@code BALANCER_NAME} unless the file has one.
     *
     * @throws InvalidConfigException with all problems, by line
     */
    public static FleetConfig read(Path file, Map<String, String> environment) throws InvalidConfigException {
        TomlTable root = TomlTable.read(file);
        TomlTable self = root.table("self");
        String name = self.text("name", environment.getOrDefault("BALANCER_NAME", ""));
        MemberAddress listen = readAddress(self, "listen", self.text("listen"));
        MemberIdentity identity = readIdentity(self, name, listen);
        String history = self.text("history", null);
        InetSocketAddress admin =
                self.has("admin") ? toSocketAddress(readAddress(self, "admin", self.text("admin"))) : null;
        List<MemberAddress> seeds = readSeeds(root);
        List<byte[]> keys = readKeys(root);
        int sealOverhead = keys.isEmpty() ? 0 : DatagramCipher.OVERHEAD_BYTES;
        MembershipSettings membership = readMembership(root.table("membership"), sealOverhead);
        boolean outlierGossip = root.table("spread").flag("news", false);
        double clockRate = root.table("test").number("clock_rate", 1, 0.01, 100);
        root.finish();
        return new FleetConfig(
                toSocketAddress(listen),
                identity,
                seeds,
                membership,
                keys,
                history == null ? null : Path.of(history),
                admin,
                outlierGossip,
                clockRate);
    }

    private static MemberIdentity readIdentity(TomlTable self, String name, MemberAddress listen) {
        MemberAddress advertised =
                self.has("advertise") ? readAddress(self, "advertise", self.text("advertise")) : listen;
        int zone = (int) self.integer("zone", 0, 0, 255);
        int region = (int) self.integer("region", 0, 0, 255);
        try {
            return new MemberIdentity(name, advertised, zone, region);
        } catch (IllegalArgumentException e) {
            self.error("name", e.getMessage());
            return null; // read throws for the problem
        }
    }

    private static List<MemberAddress> readSeeds(TomlTable root) {
        List<MemberAddress> seeds = new ArrayList<>();
        for (String seed : root.text("seeds", "").split("[,\\s]+", 0)) {
            if (!seed.isEmpty()) {
                seeds.add(readAddress(root, "seeds", seed));
            }
        }
        return seeds;
    }

    /** Reads one or two keys, a line of 64 hexadecimal digits each, from a file that only its owner may read. */
    private static List<byte[]> readKeys(TomlTable root) {
        String file = root.text("key_file", null);
        if (file == null) {
            return List.of();
        }
        try {
            Path path = Path.of(file);
            if (Files.getPosixFilePermissions(path).stream()
                    .anyMatch(permission -> !permission.name().startsWith("OWNER"))) {
                root.error("key_file", file + " may be read by others, expected mode 600");
            }
            List<byte[]> keys = parseKeys(Files.readAllLines(path));
            boolean areValid = keys.stream().allMatch(key -> key.length == KEY_BYTES);
            if (keys.isEmpty() || keys.size() > MAX_KEYS || !areValid) {
                root.error("key_file", file + ": expected one or two lines of 64 hexadecimal digits");
                return List.of();
            }
            return keys;
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            root.error("key_file", file + " can't be read: " + e);
            return List.of();
        }
    }

    /** Returns the keys of all lines that are not blank; a line of the wrong length yields an empty key. */
    private static List<byte[]> parseKeys(List<String> lines) {
        List<byte[]> keys = new ArrayList<>();
        for (String line : lines) {
            String digits = line.strip();
            if (!digits.isEmpty()) {
                boolean hasKeyLength = digits.length() == HEX_DIGITS_PER_BYTE * KEY_BYTES;
                keys.add(hasKeyLength ? HexFormat.of().parseHex(digits) : new byte[0]);
            }
        }
        return keys;
    }

    /** Reads the protocol's parameters; sealing uses {@code sealOverhead} bytes of each datagram. */
    private static MembershipSettings readMembership(TomlTable table, int sealOverhead) {
        MembershipSettings defaults = MembershipSettings.DEFAULT;
        double intervalMillis = table.number("interval_ms", defaults.probeIntervalMillis(), 100, 60_000);
        double timeoutMillis =
                table.number("timeout_ms", Math.min(defaults.probeTimeoutMillis(), intervalMillis / 2), 10, 30_000);
        if (timeoutMillis > intervalMillis / 2) {
            table.error(
                    "timeout_ms",
                    "found " + timeoutMillis + ", expected at most half of interval_ms, " + intervalMillis / 2);
            timeoutMillis = intervalMillis / 2;
        }
        return new MembershipSettings(
                intervalMillis,
                timeoutMillis,
                (int) table.integer("helpers", defaults.indirectProbes(), 1, 10),
                table.number("suspicion", defaults.suspicionMultiplier(), 1, 20),
                table.number("suspicion_most", defaults.maxSuspicionMultiplier(), 1, 20),
                (int) table.integer("spread", defaults.retransmitMultiplier(), 1, 10),
                1_000 * table.number("forget_s", defaults.forgetAfterMillis() / 1_000, 10, 3_600),
                (int) table.integer("most", defaults.maxMembers(), 2, 100_000),
                (int) table.integer(
                                "datagram_bytes", defaults.datagramBytes(), 128 + sealOverhead, MessageCodec.MAX_BYTES)
                        - sealOverhead);
    }

    /** Reads an {@code IPv4:port}; host names are not resolved. */
    private static MemberAddress readAddress(TomlTable table, String key, String text) {
        InetSocketAddress address = SocketAddresses.parse(text);
        if (address != null && address.getPort() > 0 && address.getAddress() instanceof Inet4Address) {
            return toMemberAddress(address);
        }
        if (!text.isEmpty()) { // a missing address is reported already
            table.error(key, "found '" + text + "', expected IPv4:port, such as 10.1.0.4:7400");
        }
        return INVALID_ADDRESS;
    }

    /** Converts an IPv4 socket address. */
    static MemberAddress toMemberAddress(InetSocketAddress address) {
        return new MemberAddress(
                ByteBuffer.wrap(address.getAddress().getAddress()).getInt(), address.getPort());
    }

    /** Converts a member's address. */
    static InetSocketAddress toSocketAddress(MemberAddress address) {
        try {
            byte[] ip = {
                (byte) (address.ip() >> 24),
                (byte) (address.ip() >> 16),
                (byte) (address.ip() >> 8),
                (byte) address.ip()
            };
            return new InetSocketAddress(InetAddress.getByAddress(ip), address.port());
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are always an address
        }
    }
}
