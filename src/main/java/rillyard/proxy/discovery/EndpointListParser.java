package rillyard.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rillyard.balancer.EndpointEntry;
import rillyard.proxy.config.ProxyConfig;

/**
 * Parses endpoint lists in discovery's JSON format. Does not change the registry, and leaves
 * {@link EndpointEntry#startedAtMillis} at 0.
 */
final class EndpointListParser {
    private final EndpointRegistry registry;

    /** Creates a parser that takes the ids of hosts from the registry. */
    EndpointListParser(EndpointRegistry registry) {
        this.registry = registry;
    }

    /**
     * Parses a list.
     *
     * @throws MalformedEndpointListException if it is not in discovery's format
     */
    EndpointRegistry.EndpointList parse(JsonNode list) throws MalformedEndpointListException {
        JsonNode servers = list.path("servers");
        if (!list.isObject() || !servers.isArray() || !list.path("version").canConvertToLong()) {
            throw new MalformedEndpointListException("list lacks an integer 'version' or an array 'servers'");
        }
        List<EndpointRegistry.ListedEndpoint> hosts = new ArrayList<>(servers.size());
        for (JsonNode server : servers) {
            hosts.add(parseEndpoint(server));
        }
        return new EndpointRegistry.EndpointList(
                list.path("version").asLong(), list.path("full").asBoolean(), hosts);
    }

    private EndpointRegistry.ListedEndpoint parseEndpoint(JsonNode server) throws MalformedEndpointListException {
        String name = server.path("id").asText("");
        InetSocketAddress address = ProxyConfig.parseAddress(server.path("addr").asText(""));
        EndpointEntry.Condition condition = parseCondition(server.path("state").asText(""));
        if (name.isEmpty() || (address == null && condition == EndpointEntry.Condition.READY)) {
            throw new MalformedEndpointListException("entry in 'servers' lacks 'id', or is 'up' without valid 'addr'");
        }
        double startedUnixMillis = server.path("started_ms").asDouble(0);
        EndpointEntry entry = new EndpointEntry(
                registry.idOf(name),
                server.path("zone").asText(""),
                server.path("kind").asText(""),
                server.path("cell").asLong(0),
                condition,
                0);
        return new EndpointRegistry.ListedEndpoint(name, address, entry, Math.max(0, startedUnixMillis));
    }

    /** Returns the condition for a state; a host in an unknown state receives no new requests. */
    private static EndpointEntry.Condition parseCondition(String state) {
        return switch (state) {
            case "up" -> EndpointEntry.Condition.READY;
            case "removed" -> EndpointEntry.Condition.GONE;
            default -> EndpointEntry.Condition.TERMINATING;
        };
    }
}
