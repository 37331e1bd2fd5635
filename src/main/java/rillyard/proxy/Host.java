package rillyard.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/** A host as the sockets see it: where it listens, whether it may get work, its connections. */
final class Host {
    final String name;
    final long id;
    InetSocketAddress address;
    boolean sendable;
    boolean listed;

    /** What discovery last said of it, whatever operators did. */
    EndpointEntry told;

    final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(2);
    final Set<UpstreamCall> connecting = new LinkedHashSet<>(2);
    int calls;

    Host(String name, long id) {
        this.name = name;
        this.id = id;
    }
}
