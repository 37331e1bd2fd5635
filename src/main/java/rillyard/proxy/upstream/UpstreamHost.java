package rillyard.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rillyard.balancer.EndpointEntry;

/**
 * A host as a destination of requests: its address, whether it may receive new requests, and its connections.
 *
 * <p>The endpoint registry owns the state that discovery announces, {@link UpstreamPool} the connections. Confined to
 * the event loop.
 */
public final class UpstreamHost {
    private static final long NOT_UNREACHABLE = -1;

    private final String name;
    private final long id;
    private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>(2);
    private final Set<UpstreamCall> connectingCalls = new LinkedHashSet<>(2);
    private InetSocketAddress address;
    private double startedUnixMillis;
    private int incarnation;
    private EndpointEntry entry;
    private boolean listed;
    private boolean sendable;
    private int openCalls;
    private long reachedCountAtFailure = NOT_UNREACHABLE;

    /**
     * Creates a host that is neither listed nor sendable.
     *
     * @param name the name that discovery gives it
     * @param id the number that identifies the host to the balancer
     */
    public UpstreamHost(String name, long id) {
        this.name = name;
        this.id = id;
    }

    /** Returns the name that discovery gives the host. */
    public String name() {
        return name;
    }

    /** Returns the number that identifies the host to the balancer. */
    public long id() {
        return id;
    }

    /** Returns the address, or null if none has been announced yet; a sendable host has one. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the entry that discovery announced last, whether or not operators have disabled the host. */
    public EndpointEntry entry() {
        return entry;
    }

    /** Returns whether the host is on the endpoint list. */
    public boolean isListed() {
        return listed;
    }

    /** Returns whether new requests may be sent to the host. */
    public boolean isSendable() {
        return sendable;
    }

    /** Returns whether the host is off the endpoint list and has no open call. */
    public boolean isRemovable() {
        return !listed && openCalls == 0;
    }

    /**
     * Records what discovery announced of the host.
     *
     * @param announced the new entry
     * @param newAddress the address announced with it, or null to keep the current one
     * @param newStartUnixMillis the start that discovery states, 0 for long ago
     */
    public void onAnnounced(EndpointEntry announced, InetSocketAddress newAddress, double newStartUnixMillis) {
        entry = announced;
        listed = announced.condition() != EndpointEntry.Condition.GONE;
        boolean hasMoved = newAddress != null && !newAddress.equals(address);
        if (hasMoved || newStartUnixMillis != startedUnixMillis) {
            incarnation++;
        }
        if (newAddress != null) {
            address = newAddress;
        }
        startedUnixMillis = newStartUnixMillis;
    }

    /** Returns the start that discovery stated last (Unix time in ms), 0 for long ago. */
    public double startedUnixMillis() {
        return startedUnixMillis;
    }

    /** Returns the number of the host's process: it changes with the address and with the start that is announced. */
    public int incarnation() {
        return incarnation;
    }

    /** Records that a full endpoint list lacks the host. */
    public void onDelisted() {
        listed = false;
        sendable = false;
    }

    /** Sets whether new requests may be sent to the host. */
    public void setSendable(boolean sendable) {
        this.sendable = sendable;
    }

    // --- connections, for the pool

    void onCallCreated() {
        openCalls++;
    }

    void onCallReleased(UpstreamCall call) {
        openCalls--;
        connectingCalls.remove(call);
    }

    void onConnecting(UpstreamCall call) {
        connectingCalls.add(call);
    }

    /** Records that the connect of a call has ended; returns whether the call was still waiting for it. */
    boolean onConnectEnded(UpstreamCall call) {
        return connectingCalls.remove(call);
    }

    /** Removes and returns all calls that wait for a connection. */
    List<UpstreamCall> takeConnectingCalls() {
        List<UpstreamCall> calls = new ArrayList<>(connectingCalls);
        connectingCalls.clear();
        return calls;
    }

    /** Records that the host was reached. */
    void onReached() {
        reachedCountAtFailure = NOT_UNREACHABLE;
    }

    /**
     * Records that there was no route to the host.
     *
     * @param reachedCount number of times that any host has been reached so far
     * @return whether another host has been reached since the previous failure of this kind; false for the first one,
     *     and for the first one since this host was reached
     */
    boolean onUnreachable(long reachedCount) {
        boolean isOnlyThisHost = reachedCountAtFailure != NOT_UNREACHABLE && reachedCount > reachedCountAtFailure;
        reachedCountAtFailure = reachedCount;
        return isOnlyThisHost;
    }

    /** Returns the idle connections, longest idle first; only the pool changes them. */
    ArrayDeque<UpstreamConnection> idleConnections() {
        return idleConnections;
    }
}
