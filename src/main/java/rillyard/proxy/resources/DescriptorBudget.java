package rillyard.proxy.resources;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bound over all descriptors. Idle connections, oldest first, make room for new ones: clients'
 * for clients, and hosts' for either.
 */
public final class DescriptorBudget {
    /** A connection that carries nothing and may be closed to make room. */
    public interface IdleConnection {
        void closeIdle();

        /** Whether it has carried anything yet. */
        default boolean wasUsed() {
            return true;
        }
    }

    /** Descriptors of the JVM itself, the listener, discovery and what is being closed. */
    private static final int RESERVED = 48;

    /** Part of the sockets that clients may use: each of their requests needs one to a host too. */
    private static final double CLIENT_PART = 0.6;

    /**
     * Part of the sockets past which clients' idle connections are closed as new ones come. Guards
     * against clients that ask once and keep what they have: they fill the places that clients take
     * up at most, a third, and requests then wait for the idle time. Harm: more than so many clients
     * that do come back connect anew each time.
     */
    private static final double CLIENTS_KEPT = 0.25;

    private final int limit;
    private final int keptLimit;
    private final int clientLimit;
    private final Set<IdleConnection> idleClients = new LinkedHashSet<>();
    private final Set<IdleConnection> unusedClients = new LinkedHashSet<>();
    private final Set<IdleConnection> idleUpstreams = new LinkedHashSet<>();
    private int clients;
    private int upstreams;

    public DescriptorBudget(int descriptors) {
        this.limit = Math.max(16, descriptors - RESERVED);
        this.keptLimit = Math.max(4, (int) (CLIENTS_KEPT * descriptors));
        this.clientLimit = Math.max(8, (int) (CLIENT_PART * limit));
    }

    /** Whether one more client may be accepted once something idle was closed. */
    public boolean hasCapacityForClient() {
        while (clients >= keptLimit && closeOldest(idleClients)) {
            // what has been of use and is idle makes room first
        }
        while (clients >= clientLimit) {
            if (!closeOldest(unusedClients) && !closeOldest(idleClients)) {
                return false;
            }
        }
        return hasCapacity();
    }

    /** Whether one more connection of any kind may be opened once something idle was closed. */
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

    /** Whether not one more descriptor may be taken. */
    public boolean isExhausted() {
        return clients + upstreams >= limit;
    }

    /** Connections to hosts that are open or come up. */
    public int upstreamConnections() {
        return upstreams;
    }

    public void onClientOpened() {
        clients++;
    }

    public void onClientClosed(IdleConnection connection) {
        clients--;
        idleClients.remove(connection);
        unusedClients.remove(connection);
    }

    public void onUpstreamOpened() {
        upstreams++;
    }

    public void onUpstreamClosed() {
        upstreams--;
    }

    public void setClientIdle(IdleConnection connection, boolean idle) {
        // Guards against a flood of connections that say nothing: they make room before those in use.
        mark(connection.wasUsed() ? idleClients : unusedClients, connection, idle);
    }

    public void setUpstreamIdle(IdleConnection connection, boolean idle) {
        mark(idleUpstreams, connection, idle);
    }

    private static void mark(Set<IdleConnection> set, IdleConnection connection, boolean idle) {
        if (idle) {
            set.add(connection);
        } else {
            set.remove(connection);
        }
    }
}
