package rillyard.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/** A host as the sockets see it: where it listens, whether it may get work, its connections. */
public final class UpstreamHost {
    public final String name;
    public final long id;
    public InetSocketAddress address;
    public boolean sendable;
    public boolean listed;

    /** What discovery last said of it, whatever operators did. */
    public EndpointEntry entry;

    final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>(2);
    final Set<UpstreamCall> connecting = new LinkedHashSet<>(2);
    public int calls;

    public UpstreamHost(String name, long id) {
        this.name = name;
        this.id = id;
    }
}
