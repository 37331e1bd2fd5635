package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * A connection to a host. It carries one call at a time and returns to its pool in between.
 *
 * <p>Confined to the event loop of its channel.
 */
public final class UpstreamConnection implements DescriptorBudget.IdleConnection {
    private final UpstreamPool pool;
    private final UpstreamHost host;
    private final InetSocketAddress address;
    private final PeekableSocketChannel channel;
    private final UpstreamResponseDecoder decoder;
    private final ResponseReader reader;
    private final ConnectionReuse reuse;
    private UpstreamCall call;
    private boolean requestWritten;
    private boolean keepAlive;

    UpstreamConnection(
            UpstreamPool pool, UpstreamHost host, PeekableSocketChannel channel, UpstreamResponseDecoder decoder) {
        this.pool = pool;
        this.host = host;
        this.address = host.address();
        this.channel = channel;
        this.decoder = decoder;
        this.reader = new ResponseReader(this, decoder);
        this.reuse = new ConnectionReuse(pool);
    }

    /** Returns the channel of the connection. */
    public Channel channel() {
        return channel;
    }

    /** Returns a new handler of the channel's events. */
    ChannelHandler newHandler() {
        return new UpstreamChannelHandler(this, reader, new ResponseStallCheck(this, channel, decoder));
    }

    /** Returns the call that the connection carries, null if there is none. */
    UpstreamCall call() {
        return call;
    }

    /** Returns whether the last byte of the present call's request has been written to the socket. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    /** Returns whether the connection is open and nothing has arrived since it became idle; reads from the socket. */
    boolean isAlive() {
        return channel.isActive() && channel.hasNothingToRead();
    }

    /** Returns the time ({@link System#nanoTime}) at which the connection became idle or began to discard. */
    long idleSinceNanos() {
        return reuse.idleSinceNanos();
    }

    /** Returns whether new requests may be sent to the host at the address of this connection. */
    boolean isReusable() {
        return host.isSendable() && address.equals(host.address());
    }

    /** Writes the request of a call; it can't be held back any more. */
    void run(UpstreamCall next) {
        assert channel.eventLoop().inEventLoop();
        call = next;
        reuse.onCallStarted();
        reader.onRequestStarted();
        requestWritten = false;
        keepAlive = true;
        next.onAttached(this);
        try {
            next.write(channel).addListener(written -> onWriteEnded(next, written.isSuccess()));
        } catch (RuntimeException | Error e) {
            onHandlerFailed(next, e);
        }
    }

    private void onWriteEnded(UpstreamCall writtenCall, boolean success) {
        if (call != writtenCall) {
            return;
        }
        if (!success) {
            fail();
            return;
        }
        requestWritten = true;
        try {
            writtenCall.onWritten();
        } catch (RuntimeException | Error e) {
            onHandlerFailed(writtenCall, e);
        }
    }

    // --- the response

    /** The head of the final response has been read. */
    void onResponseHead(HttpResponse head) {
        reuse.report(false);
        // A response that precedes the request's last byte leaves an incomplete request on the connection.
        keepAlive = requestWritten && HttpUtil.isKeepAlive(head);
        call.onResponseHead(head);
    }

    /** A part of the final response's body has been read. */
    void onResponseContent(HttpContent part, boolean isLast) {
        UpstreamCall receiver = call;
        receiver.onResponseContent(part);
        if (isLast && call == receiver) {
            onResponseEnd();
            receiver.onResponseEnd();
        }
    }

    /** The last byte of a response has been read: the connection is idle, or closed. */
    void onResponseEnd() {
        call = null;
        reader.stop();
        channel.config().setAutoRead(true);
        if (keepAlive && channel.isActive() && !decoder.hasSurplusBytes() && isReusable()) {
            reuse.onIdle();
            pool.onIdle(host, this);
        } else {
            channel.close();
        }
    }

    // --- the end of a call

    /** Ends the call, which needs no more than the response's head; the connection may be reused after the rest. */
    public void discardRest() {
        if (call == null) {
            return;
        }
        call = null;
        reader.discardRest();
        reuse.onIdle();
        if (keepAlive) {
            pool.onDiscarding(this);
        } else {
            channel.close();
        }
    }

    /** Ends the given call, if the connection carries it, and closes the connection: its response must reach no other. */
    void abort(UpstreamCall abandoned) {
        if (call == abandoned) {
            end();
        }
    }

    /** Ends the present call, if there is one, without a report, and closes the connection. */
    private void end() {
        call = null;
        reader.stop();
        channel.close();
    }

    /** The host has sent what is no response. */
    void onMalformedResponse(Throwable cause) {
        pool.onMalformedResponse(host, cause);
        fail();
    }

    /** Closes the connection and reports its end to the call, if it carries one. */
    void fail() {
        UpstreamCall failed = call;
        try {
            end();
            if (failed != null) {
                reportEnd(failed);
            }
        } catch (RuntimeException | Error e) {
            onHandlerFailed(failed, e);
        }
    }

    private void reportEnd(UpstreamCall failed) {
        if (!decoder.hasBegun() && reuse.report(true)) {
            failed.onKeptConnectionLost();
        }
        if (requestWritten) {
            failed.onConnectionLost();
        } else {
            failed.onNotSent();
        }
    }

    /** A handler or timer has thrown: ends the present call, if there is one, and closes the connection. */
    void onHandlerFailed(Throwable cause) {
        onHandlerFailed(call, cause);
    }

    /** A handler has thrown: ends the call that was at hand, null if there was none, and closes the connection. */
    void onHandlerFailed(UpstreamCall affected, Throwable cause) {
        pool.onHandlerFailed(host, cause);
        end();
        if (affected == null) {
            return;
        }
        try {
            affected.onHandlerFailed();
        } catch (RuntimeException | Error e) {
            pool.onHandlerFailed(host, e);
        }
    }

    // --- the flow of a response

    /** Returns whether the host has begun its response and the proxy reads it. */
    boolean isAwaitingProgress() {
        return call != null && decoder.hasBegun() && channel.config().isAutoRead();
    }

    /** Returns the nanoseconds without progress after which the present call's response counts as broken. */
    long stallNanos() {
        return call.stallNanos();
    }

    /** Ends the call, as its response has stopped half way. */
    void onResponseStalled() {
        fail();
    }

    /** Stops reading from the host until {@link #resumeReading}. */
    public void pauseReading() {
        channel.config().setAutoRead(false);
    }

    /** Continues reading; the pause does not count as a stall of the host. */
    public void resumeReading() {
        decoder.onReadingResumed();
        channel.config().setAutoRead(true);
    }

    // --- the channel

    /** The channel takes more, or no more for now. */
    void onWritabilityChanged() {
        if (call != null && channel.isWritable()) {
            call.onWritable();
        }
    }

    /** The channel is closed. */
    void onClosed() {
        fail();
        pool.onClosed(host, this);
    }

    @Override
    public void closeIdle() {
        channel.close();
    }
}
