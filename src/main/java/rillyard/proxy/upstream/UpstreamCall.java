package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** What one connection to a host carries at a time: an attempt of a request. */
public abstract class UpstreamCall {
    /** Hosts pause for 0.1 s at most. */
    public static final long STALL_NANOS = 150_000_000L;

    public final UpstreamHost host;
    private Channel connecting;
    private UpstreamConnection connection;

    protected UpstreamCall(UpstreamHost host) {
        this.host = host;
        host.calls++; // until Upstreams.end
    }

    /** Whether it may still be written; asked once a connection has come up, which may be late. */
    public boolean mayBegin() {
        return true;
    }

    /** Writes all of it; the future is that of the last byte. */
    public abstract ChannelFuture write(Channel channel);

    /** The last byte has gone out. */
    public abstract void onWritten();

    /** The last byte has not gone out: there was no connection, or it went away before. */
    public abstract void onNotSent();

    /** The host must not get it any more, and no byte of it has gone out. */
    public abstract void onNotNeeded();

    /** The head of the final answer. */
    public abstract void onResponseHead(HttpResponse head);

    /** Part of the answer's body. */
    public abstract void onResponseContent(HttpContent part);

    /** More of the request would be taken by the connection. */
    public void onWritable() {}

    /** How long (ns) an answer that has begun may say nothing before it is held to have broken. */
    public long stallNanos() {
        return STALL_NANOS;
    }

    /** The answer is whole. */
    public abstract void onResponseEnd();

    /** The connection broke, or the answer is malformed; the last byte had been written. */
    public abstract void onConnectionLost();

    void connecting(Channel channel) {
        connecting = channel;
    }

    void attached(UpstreamConnection to) {
        connecting = null;
        connection = to;
    }

    public UpstreamConnection connection() {
        return connection;
    }

    /** Whether the last byte may have reached the host. */
    public boolean mayHaveRun() {
        return connection != null && connection.written();
    }

    /** Ends the use of the connection, by closing it unless the answer has been read to its end. */
    void abandon() {
        if (connecting != null) {
            connecting.close();
            connecting = null;
        }
        if (connection != null) {
            connection.abort(this);
        }
    }
}
