package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * One attempt at a host, as the connection pool handles it: a request and its response on one connection.
 *
 * <p>A subclass writes the request and receives the response. Of {@link #onSendFailed}, {@link #onLocalFailure},
 * {@link #onAbandonedBeforeSend}, {@link #onResponseEnd} and {@link #onConnectionLost} at most one is called. Confined
 * to the event loop.
 */
public abstract class UpstreamCall {
    /** Nanoseconds without progress after which a short response counts as lost. */
    public static final long STALL_NANOS = 150_000_000L;

    private final UpstreamHost host;
    private Channel connectingChannel;
    private UpstreamConnection connection;
    private boolean lostReusedConnection;
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

    /** Returns whether the request may still be written; checked when a connection is established, maybe late. */
    public boolean mayBeWritten() {
        return true;
    }

    /** Writes the complete request and returns the future of the write of its last byte. */
    public abstract ChannelFuture write(Channel channel);

    /** Is called when the last byte of the request has been written to the socket. */
    public abstract void onWritten();

    /** Is called when the last byte was not written: no connection was established, or it ended before. */
    public abstract void onSendFailed();

    /** Is called when this machine could not open a connection, for a reason that is unrelated to the host. */
    public abstract void onLocalFailure();

    /** Is called when the host must not receive the request any more and no byte of it was written. */
    public abstract void onAbandonedBeforeSend();

    /** Is called with the head of the final response. */
    public abstract void onResponseHead(HttpResponse head);

    /** Is called with each part of the response's body; the part is released after the call. */
    public abstract void onResponseContent(HttpContent part);

    /** Is called when no more of the response can be read for now. */
    public void onReadComplete() {}

    /** Is called when the connection accepts more of the request. */
    public void onWritable() {}

    /**
     * Returns the time ({@link System#nanoTime}) at which a response that has begun counts as lost, unless more of it is
     * read.
     *
     * @param lastReadNanos time of the last read
     */
    public long stalledAtNanos(long lastReadNanos) {
        return lastReadNanos + STALL_NANOS;
    }

    /** Is called when the response is complete. */
    public abstract void onResponseEnd();

    /** Is called when the connection broke or the response is malformed, after the last byte was written. */
    public abstract void onConnectionLost();

    /** Is called when a handler of the proxy has thrown; the call must end itself, not as a failure of the host. */
    public abstract void onHandlerFailed();

    /** Returns the connection that carries the call, or null if none has been assigned. */
    public UpstreamConnection connection() {
        return connection;
    }

    /** Returns whether the host may have executed the request: its last byte has been written. */
    public boolean mayHaveExecuted() {
        return connection != null && connection.isRequestWritten();
    }

    /** Returns whether a reused connection ended before the response: the host may have dropped it while idle. */
    public final boolean hasLostReusedConnection() {
        return lostReusedConnection;
    }

    void onReusedConnectionLost() {
        lostReusedConnection = true;
    }

    /** Makes the call open a new connection; to be called before {@link UpstreamPool#start}. */
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
