package rillyard.proxy;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bound over all descriptors. Idle connections, oldest first, make room for new ones: clients'
 * for clients, and hosts' for either.
 */
final class Sockets {
    /** A connection that carries nothing and may be closed to make room. */
    interface Idle {
        void closeIdle();

        /** Whether it has carried anything yet. */
        default boolean used() {
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
    private final Set<Idle> idleClients = new LinkedHashSet<>();
    private final Set<Idle> unusedClients = new LinkedHashSet<>();
    private final Set<Idle> idleUpstreams = new LinkedHashSet<>();
    private int clients;
    private int upstreams;

    Sockets(int descriptors) {
        this.limit = Math.max(16, descriptors - RESERVED);
        this.keptLimit = Math.max(4, (int) (CLIENTS_KEPT * descriptors));
        this.clientLimit = Math.max(8, (int) (CLIENT_PART * limit));
    }

    /** Whether one more client may be accepted once something idle was closed. */
    boolean roomForClient() {
        while (clients >= keptLimit && closeOldest(idleClients)) {
            // what has been of use and is idle makes room first
        }
        while (clients >= clientLimit) {
            if (!closeOldest(unusedClients) && !closeOldest(idleClients)) {
                return false;
            }
        }
        return room();
    }

    /** Whether one more connection of any kind may be opened once something idle was closed. */
    boolean room() {
        while (exhausted()) {
            if (!closeOldest(unusedClients) && !closeOldest(idleUpstreams) && !closeOldest(idleClients)) {
                return false;
            }
        }
        return true;
    }

    private static boolean closeOldest(Set<Idle> idle) {
        if (idle.isEmpty()) {
            return false;
        }
        Idle oldest = idle.iterator().next();
        idle.remove(oldest);
        oldest.closeIdle();
        return true;
    }

    /** Whether not one more descriptor may be taken. */
    boolean exhausted() {
        return clients + upstreams >= limit;
    }

    /** Connections to hosts that are open or come up. */
    int upstreams() {
        return upstreams;
    }

    void clientOpened() {
        clients++;
    }

    void clientClosed(Idle c) {
        clients--;
        idleClients.remove(c);
        unusedClients.remove(c);
    }

    void upstreamOpened() {
        upstreams++;
    }

    void upstreamClosed() {
        upstreams--;
    }

    void clientIdle(Idle c, boolean idle) {
        // Guards against a flood of connections that say nothing: they make room before those in use.
        mark(c.used() ? idleClients : unusedClients, c, idle);
    }

    void upstreamIdle(Idle c, boolean idle) {
        mark(idleUpstreams, c, idle);
    }

    private static void mark(Set<Idle> set, Idle c, boolean idle) {
        if (idle) {
            set.add(c);
        } else {
            set.remove(c);
        }
    }
}
