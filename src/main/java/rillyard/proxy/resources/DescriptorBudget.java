package rillyard.proxy.resources;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The budget of file descriptors for the connections of clients and to hosts.
 *
 * <p>When it is exhausted, idle connections of either kind are closed for new ones, the longest idle of a kind first;
 * when clients hold their share, idle client connections are closed for new clients. Confined to the event loop.
 */
public final class DescriptorBudget {
    /** A connection that can be closed for another one while it is idle. */
    public interface IdleConnection {
        /** Closes the connection, which is idle. */
        void closeIdle();

        /** Returns whether the connection has carried a request. */
        default boolean wasUsed() {
            return true;
        }
    }

    /** Descriptors for the JVM itself, the listener, discovery and connections that are being closed. */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Share of the limit that clients may use, as each of their requests needs a connection to a host, too. */
    private static final double CLIENT_SHARE = 0.6;

    /**
     * Share of the descriptors beyond which idle client connections are closed for new ones.
     *
     * <p>Clients that send one request and keep their connection would otherwise use up the clients' share, and
     * requests would wait for the idle timeout. The cost is that returning clients reconnect each time if more than
     * this share are connected.
     */
    private static final double IDLE_EVICTION_SHARE = 0.25;

    private final int limit;
    private final int idleEvictionThreshold;
    private final int clientLimit;
    private final Set<IdleConnection> idleClients = new LinkedHashSet<>();
    private final Set<IdleConnection> unusedClients = new LinkedHashSet<>();
    private final Set<IdleConnection> idleUpstreams = new LinkedHashSet<>();
    private int clientCount;
    private int upstreamCount;
    private Runnable changeListener = () -> {};

    /** Creates an unused budget for a process with the given descriptor limit. */
    public DescriptorBudget(int descriptors) {
        this.limit = Math.max(16, descriptors - RESERVED_DESCRIPTORS);
        this.idleEvictionThreshold = Math.max(4, (int) (IDLE_EVICTION_SHARE * descriptors));
        this.clientLimit = Math.max(8, (int) (CLIENT_SHARE * limit));
    }

    /** Sets the action that runs when a connection was opened or closed, or has become idle or busy. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Returns whether one more client can be accepted, after closing idle connections where needed. */
    public boolean hasCapacityForClient() {
        while (clientCount >= idleEvictionThreshold && closeOldest(idleClients)) {
            // here only idle connections that have carried a request are closed
        }
        while (clientCount >= clientLimit) {
            if (!closeOldest(unusedClients) && !closeOldest(idleClients)) {
                return false;
            }
        }
        return hasCapacity();
    }

    /** Returns whether one more connection of any kind can be opened, after closing idle ones where needed. */
    public boolean hasCapacity() {
        while (isExhausted()) {
            if (!closeOldest(unusedClients) && !closeOldest(idleUpstreams) && !closeOldest(idleClients)) {
                return false;
            }
        }
        return true;
    }

    private static boolean closeOldest(Set<IdleConnection> idle) {
        if (idle.isEmpty()) {
            return false;
        }
        IdleConnection oldest = idle.iterator().next();
        idle.remove(oldest);
        oldest.closeIdle();
        return true;
    }

    private boolean isExhausted() {
        return clientCount + upstreamCount >= limit;
    }

    /** Returns whether no further descriptor may be used and there is no idle connection to close for another one. */
    public boolean isFull() {
        int idle = idleClients.size() + unusedClients.size() + idleUpstreams.size();
        return clientCount + upstreamCount - idle >= limit;
    }

    /** Returns the number of connections to hosts, established or connecting. */
    public int upstreamConnections() {
        return upstreamCount;
    }

    /** Records that a client connection was accepted. */
    public void onClientOpened() {
        clientCount++;
        changeListener.run();
    }

    /** Records that a client connection was closed. */
    public void onClientClosed(IdleConnection connection) {
        clientCount--;
        idleClients.remove(connection);
        unusedClients.remove(connection);
        changeListener.run();
    }

    /** Records that a connection to a host was begun. */
    public void onUpstreamOpened() {
        upstreamCount++;
        changeListener.run();
    }

    /** Records that a connection to a host was closed. */
    public void onUpstreamClosed() {
        upstreamCount--;
        changeListener.run();
    }

    /** Records whether a client connection is idle. */
    public void setClientIdle(IdleConnection connection, boolean idle) {
        // At the limits those that never carried a request are closed first, so that a flood of them displaces no
        // others.
        setMember(connection.wasUsed() ? idleClients : unusedClients, connection, idle);
    }

    /** Records whether a connection to a host is idle. */
    public void setUpstreamIdle(IdleConnection connection, boolean idle) {
        setMember(idleUpstreams, connection, idle);
    }

    private void setMember(Set<IdleConnection> set, IdleConnection connection, boolean idle) {
        boolean isChanged = idle ? set.add(connection) : set.remove(connection);
        if (isChanged) {
            changeListener.run();
        }
    }
}
