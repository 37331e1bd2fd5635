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
 * What the platform tells one client proxy; times are milliseconds. {@code operator} is the second
 * address, null where there is none.
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
    /**
     * Reads the file that {@code BALANCER_CONFIG} names. The other variables win over it, but for
     * discovery's address: the file is replaced while the process runs, its environment never is.
     */
    public static ProxyConfig load(Map<String, String> env) throws ConfigException {
        String file = env.get("BALANCER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        JsonNode root;
        try {
            root = JsonTreeReader.read(Files.readAllBytes(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new ConfigException(file + ": not JSON: " + e.getOriginalMessage());
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(file + ": can't be read: " + e);
        }
        if (root == null || !root.isObject()) {
            throw new ConfigException(file + ": not a JSON object");
        }
        Settings settings;
        try {
            SettingsValidator.check(root.path("settings"));
            settings = SettingsReader.read(root.path("settings"));
        } catch (MalformedInputException e) {
            throw new ConfigException(file + ": " + e.getMessage());
        }
        JsonNode limits = root.path("limits");
        for (String key : new String[] {"memory_mb", "sockets"}) {
            JsonNode node = limits.path(key);
            if (!node.isMissingNode() && !node.isNull() && !(node.canConvertToInt() && node.asInt() > 0)) {
                throw new ConfigException(
                        file + ": limits." + key + ": expected a whole number above 0, found " + node);
            }
        }
        JsonNode allowed = root.path("settings").path("limits");
        return new ProxyConfig(
                told(env, "BALANCER_NAME", root, "name"),
                address(told(env, "BALANCER_LISTEN", root, "listen"), "listen"),
                address(root.path("discovery").asText(env.getOrDefault("BALANCER_DISCOVERY", "")), "discovery"),
                seed(root.path("seed").asText()),
                limits.path("memory_mb").asInt(128),
                limits.path("sockets").asInt(1024),
                root.path("known"),
                settings,
                allowed.path("connIdle").asDouble(15_000),
                allowed.path("connectTimeout").asDouble(250),
                allowed.path("maxOpen").asInt(Integer.MAX_VALUE),
                adminAddress(env, root));
    }

    /** The second address, null where none is configured. */
    private static InetSocketAddress adminAddress(Map<String, String> env, JsonNode root) throws ConfigException {
        String told = told(env, "BALANCER_OPERATOR", root, "operator");
        return told.isEmpty() ? null : address(told, "operator");
    }

    private static String told(Map<String, String> env, String variable, JsonNode root, String key) {
        String s = env.get(variable);
        return s == null || s.isEmpty() ? root.path(key).asText("") : s;
    }

    private static long seed(String s) {
        try {
            return Long.parseUnsignedLong(s, 16);
        } catch (NumberFormatException e) {
            return s.hashCode() ^ System.nanoTime(); // any will do, as long as no two starts share it
        }
    }

    private static InetSocketAddress address(String s, String what) throws ConfigException {
        InetSocketAddress a = parseAddress(s);
        if (a == null) {
            throw new ConfigException(what + " is not IP:port: '" + s + "'");
        }
        return a;
    }

    /** An {@code IP:port}, or null if it is none; names are not looked up: there is no DNS. */
    public static InetSocketAddress parseAddress(String s) {
        int colon = s.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(s.substring(0, colon));
        if (ip == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(s.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
