package rillyard.proxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import rillyard.balancer.Settings;
import rillyard.settings.JsonTreeReader;
import rillyard.settings.MalformedInputException;
import rillyard.settings.SettingsReader;
import rillyard.settings.SettingsValidator;

/**
 * The configuration of one client proxy, as the platform provides it. Times are in milliseconds.
 *
 * @param name the proxy's name, unique among the proxies of the platform
 * @param listen the address for clients
 * @param discovery the address of discovery
 * @param seed the seed of the balancer's random numbers
 * @param memoryMb the memory limit of the process in MiB
 * @param maxDescriptors the limit of file descriptors of the process
 * @param cachedEndpoints the last known endpoint list; a missing node if there is none
 * @param settings the settings of the balancer
 * @param idleTimeoutMs the time after which hosts close idle connections
 * @param connectTimeoutMs the time after which a connect to a host fails
 * @param maxOpenRequests the limit of open requests
 * @param adminAddress the address of the admin endpoint, or null if there is none
 */
public record ProxyConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int memoryMb,
        int maxDescriptors,
        JsonNode cachedEndpoints,
        Settings settings,
        double idleTimeoutMs,
        double connectTimeoutMs,
        int maxOpenRequests,
        InetSocketAddress adminAddress) {
    private static final int DEFAULT_MEMORY_MB = 128;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final double DEFAULT_IDLE_TIMEOUT_MS = 15_000;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_PORT = 65_535;
    private static final int SEED_RADIX = 16;

    /**
     * Reads the configuration file that {@code BALANCER_CONFIG} names.
     *
     * <p>The other variables take precedence over the file, except for the discovery address: the file can be replaced
     * while the process runs, its environment can't.
     *
     * @throws ConfigException if the file is missing or invalid
     */
    public static ProxyConfig load(Map<String, String> env) throws ConfigException {
        String file = env.get("BALANCER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        JsonNode root = readRoot(file);
        Settings settings = readSettings(file, root);
        JsonNode processLimits = root.path("limits");
        checkPositive(file, processLimits, "memory_mb");
        checkPositive(file, processLimits, "sockets");
        JsonNode balancerLimits = root.path("settings").path("limits");
        return new ProxyConfig(
                value(env, "BALANCER_NAME", root, "name"),
                requireAddress(value(env, "BALANCER_LISTEN", root, "listen"), "listen"),
                requireAddress(root.path("discovery").asText(env.getOrDefault("BALANCER_DISCOVERY", "")), "discovery"),
                parseSeed(root.path("seed").asText()),
                processLimits.path("memory_mb").asInt(DEFAULT_MEMORY_MB),
                processLimits.path("sockets").asInt(DEFAULT_DESCRIPTORS),
                root.path("known"),
                settings,
                balancerLimits.path("connIdle").asDouble(DEFAULT_IDLE_TIMEOUT_MS),
                balancerLimits.path("connectTimeout").asDouble(DEFAULT_CONNECT_TIMEOUT_MS),
                balancerLimits.path("maxOpen").asInt(Integer.MAX_VALUE),
                parseAdminAddress(env, root));
    }

    private static JsonNode readRoot(String file) throws ConfigException {
        JsonNode root;
        try {
            root = JsonTreeReader.read(Files.readAllBytes(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new ConfigException(file + ": not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(file + ": can't be read: " + e, e);
        }
        if (root == null || !root.isObject()) {
            throw new ConfigException(file + ": not a JSON object");
        }
        return root;
    }

    private static Settings readSettings(String file, JsonNode root) throws ConfigException {
        try {
            SettingsValidator.check(root.path("settings"));
            return SettingsReader.read(root.path("settings"));
        } catch (MalformedInputException e) {
            throw new ConfigException(file + ": " + e.getMessage(), e);
        }
    }

    private static void checkPositive(String file, JsonNode limits, String key) throws ConfigException {
        JsonNode node = limits.path(key);
        boolean isAbsent = node.isMissingNode() || node.isNull();
        if (!isAbsent && !(node.canConvertToInt() && node.asInt() > 0)) {
            throw new ConfigException(file + ": limits." + key + ": expected a whole number above 0, found " + node);
        }
    }

    private static InetSocketAddress parseAdminAddress(Map<String, String> env, JsonNode root) throws ConfigException {
        String text = value(env, "BALANCER_OPERATOR", root, "operator");
        return text.isEmpty() ? null : requireAddress(text, "operator");
    }

    /** Returns the value of the variable, or of the key in the file if it is not set; empty if neither is set. */
    private static String value(Map<String, String> env, String variable, JsonNode root, String key) {
        String text = env.get(variable);
        return text == null || text.isEmpty() ? root.path(key).asText("") : text;
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException ignored) {
            return text.hashCode() ^ System.nanoTime(); // a seed that differs at each start
        }
    }

    private static InetSocketAddress requireAddress(String text, String key) throws ConfigException {
        InetSocketAddress address = parseAddress(text);
        if (address == null) {
            throw new ConfigException(key + " is not IP:port: '" + text + "'");
        }
        return address;
    }

    /**
     * Parses an {@code IP:port}; host names are not resolved, as the platform has no DNS.
     *
     * @return the address, or null if the text is not an address
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException ignored) {
            return null;
        }
    }
}
