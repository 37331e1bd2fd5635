package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One request to one host, as a connection carries it: an attempt.
 *
 * <p>A subclass writes the request and receives the response. Of {@link #onNotSent}, {@link #onLocalFailure},
 * {@link #onNotNeeded}, {@link #onResponseEnd} and {@link #onConnectionLost} at most one is called. Confined to the event loop.
 */
public abstract class UpstreamCall {
    /** Default nanoseconds without progress after which a response counts as broken; hosts pause for 0.1 s at most. */
    public static final long STALL_NANOS = 150_000_000L;

    private final UpstreamHost host;
    private Channel connectingChannel;
    private UpstreamConnection connection;
    private boolean lostKeptConnection;
    private boolean needsNewConnection;

    /** Creates a call to the host; it counts as open there until {@link UpstreamPool#release}. */
    protected UpstreamCall(UpstreamHost host) {
        this.host = host;
        host.onCallCreated();
    }

    /** Returns the host that the call goes to. */
    public final UpstreamHost host() {
        return host;
    }

    /** Returns whether the request may still be written; checked once a connection has come up, which may be late. */
    public boolean mayBegin() {
        return true;
    }

    /** Writes the complete request and returns the future of its last byte. */
    public abstract ChannelFuture write(Channel channel);

    /** Is called when the last byte of the request has been written to the socket. */
    public abstract void onWritten();

    /** Is called when the last byte was not written: there was no connection, or it ended before. */
    public abstract void onNotSent();

    /** Is called when this machine could not open a connection, whatever the host. */
    public abstract void onLocalFailure();

    /** Is called when the host must not receive the request any more and no byte of it was written. */
    public abstract void onNotNeeded();

    /** Is called with the head of the final response. */
    public abstract void onResponseHead(HttpResponse head);

    /** Is called with each part of the response's body; the part is released after the call. */
    public abstract void onResponseContent(HttpContent part);

    /** Is called when the connection accepts more of the request. */
    public void onWritable() {}

    /** Returns the nanoseconds without progress after which a response that has begun counts as broken. */
    public long stallNanos() {
        return STALL_NANOS;
    }

    /** Is called when the response is complete. */
    public abstract void onResponseEnd();

    /** Is called when the connection broke or the response is malformed, after the last byte was written. */
    public abstract void onConnectionLost();

    /** Is called when a handler of this program has thrown; the call is to end itself, and the host is not to blame. */
    public abstract void onHandlerFailed();

    /** Returns the connection that carries the call, or null if none was assigned yet. */
    public UpstreamConnection connection() {
        return connection;
    }

    /** Returns whether the last byte of the request may have reached the host. */
    public boolean mayHaveRun() {
        return connection != null && connection.isRequestWritten();
    }

    /** Returns whether a kept connection ended before any byte of the response: the host may have forgotten it. */
    public final boolean hasLostKeptConnection() {
        return lostKeptConnection;
    }

    void onKeptConnectionLost() {
        lostKeptConnection = true;
    }

    /** Has the call open a connection of its own; to be called before {@link UpstreamPool#start}. */
    public final void requireNewConnection() {
        needsNewConnection = true;
    }

    boolean needsNewConnection() {
        return needsNewConnection;
    }

    void onConnecting(Channel channel) {
        connectingChannel = channel;
    }

    void onAttached(UpstreamConnection assigned) {
        connectingChannel = null;
        connection = assigned;
    }

    /** Ends the use of the connection, which is closed unless the response was read to its end. */
    void abandon() {
        if (connectingChannel != null) {
            connectingChannel.close();
            connectingChannel = null;
        }
        if (connection != null) {
            connection.abort(this);
        }
    }
}
