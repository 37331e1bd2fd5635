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

/** Reads {@code deploy/fleet.toml}. */
public final class FleetConfigReader {
    private FleetConfigReader() {}

    /**
     * Reads a file; where it names no member, {@code BALANCER_NAME} does.
     *
     * @throws InvalidConfigException with all findings, by line
     */
    public static FleetConfig read(Path file, Map<String, String> environment) throws InvalidConfigException {
        TomlTable root = TomlTable.read(file);
        TomlTable self = root.table("self");
        String name = self.text("name", environment.getOrDefault("BALANCER_NAME", ""));
        MemberAddress listen = endpoint(self, "listen", self.text("listen"));
        MemberAddress advertise = self.has("advertise") ? endpoint(self, "advertise", self.text("advertise")) : listen;
        MemberIdentity card = null;
        try {
            card = new MemberIdentity(
                    name, advertise, (int) self.integer("zone", 0, 0, 255), (int) self.integer("region", 0, 0, 255));
        } catch (IllegalArgumentException e) {
            self.error("name", e.getMessage());
        }
        String history = self.text("history", null);
        InetSocketAddress admin = self.has("admin") ? address(endpoint(self, "admin", self.text("admin"))) : null;
        List<MemberAddress> seeds = new ArrayList<>();
        for (String s : root.text("seeds", "").split("[,\\s]+")) {
            if (!s.isEmpty()) {
                seeds.add(endpoint(root, "seeds", s));
            }
        }
        List<byte[]> keys = keys(root);
        MembershipSettings member = member(root.table("membership"), keys.isEmpty() ? 0 : DatagramCipher.BYTES);
        boolean spread = root.table("spread").flag("news", false);
        double clockRate = root.table("test").number("clock_rate", 1, 0.01, 100);
        root.finish();
        return new FleetConfig(
                address(listen),
                card,
                seeds,
                member,
                keys,
                history == null ? null : Path.of(history),
                admin,
                spread,
                clockRate);
    }

    /** One or two keys, a line of 64 hexadecimal digits each, in a file that only this process's user may read. */
    private static List<byte[]> keys(TomlTable root) {
        String file = root.text("key_file", null);
        if (file == null) {
            return List.of();
        }
        try {
            Path path = Path.of(file);
            if (Files.getPosixFilePermissions(path).stream()
                    .anyMatch(p -> !p.name().startsWith("OWNER"))) {
                root.error("key_file", file + " may be read by others, expected mode 600");
            }
            List<byte[]> keys = new ArrayList<>();
            for (String line : Files.readAllLines(path)) {
                if (!line.isBlank()) {
                    keys.add(line.strip().length() == 64 ? HexFormat.of().parseHex(line.strip()) : new byte[0]);
                }
            }
            if (keys.isEmpty() || keys.size() > 2 || keys.stream().anyMatch(k -> k.length != 32)) {
                root.error("key_file", file + ": expected one or two lines of 64 hexadecimal digits");
                return List.of();
            }
            return keys;
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            root.error("key_file", file + " can't be read: " + e);
            return List.of();
        }
    }

    private static MembershipSettings member(TomlTable table, int seal) {
        MembershipSettings settings = MembershipSettings.DEFAULT;
        double interval = table.number("interval_ms", settings.probeIntervalMillis(), 100, 60_000);
        double timeout = table.number("timeout_ms", Math.min(settings.probeTimeoutMillis(), interval / 2), 10, 30_000);
        if (timeout > interval / 2) {
            table.error("timeout_ms", "found " + timeout + ", expected at most half of interval_ms, " + interval / 2);
            timeout = interval / 2;
        }
        return new MembershipSettings(
                interval,
                timeout,
                (int) table.integer("helpers", settings.indirectProbes(), 1, 10),
                table.number("suspicion", settings.suspicionMultiplier(), 1, 20),
                table.number("suspicion_most", settings.maxSuspicionMultiplier(), 1, 20),
                (int) table.integer("spread", settings.retransmitMultiplier(), 1, 10),
                1_000 * table.number("forget_s", settings.forgetAfterMillis() / 1_000, 10, 3_600),
                (int) table.integer("most", settings.maxMembers(), 2, 100_000),
                (int) table.integer("datagram_bytes", settings.datagramBytes(), 128 + seal, MessageCodec.MAX_BYTES)
                        - seal);
    }

    /** An {@code IPv4:port}; names are not looked up. */
    private static MemberAddress endpoint(TomlTable table, String key, String s) {
        InetSocketAddress address = SocketAddresses.parse(s);
        if (address != null && address.getPort() > 0 && address.getAddress() instanceof Inet4Address) {
            return endpoint(address);
        }
        if (!s.isEmpty()) { // that it is missing is told already
            table.error(key, "found '" + s + "', expected IPv4:port, as 10.1.0.4:7400");
        }
        return new MemberAddress(0x7F000001, 1);
    }

    /** The endpoint of an IPv4 address. */
    static MemberAddress endpoint(InetSocketAddress address) {
        return new MemberAddress(
                ByteBuffer.wrap(address.getAddress().getAddress()).getInt(), address.getPort());
    }

    static InetSocketAddress address(MemberAddress address) {
        try {
            byte[] ip = {
                (byte) (address.ip() >> 24),
                (byte) (address.ip() >> 16),
                (byte) (address.ip() >> 8),
                (byte) address.ip()
            };
            return new InetSocketAddress(InetAddress.getByAddress(ip), address.port());
        } catch (UnknownHostException x) {
            throw new IllegalStateException(x); // four bytes are an address
        }
    }
}
