package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * A connection to a host, which carries one call at a time and returns to its pool in between.
 *
 * <p>Confined to the event loop of its channel.
 */
public final class UpstreamConnection implements DescriptorBudget.IdleConnection {
    private final UpstreamPool pool;
    private final UpstreamHost host;
    private final int incarnation;
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
        this.incarnation = host.incarnation();
        this.channel = channel;
        this.decoder = decoder;
        this.reader = new ResponseReader(this, decoder);
        this.reuse = new ConnectionReuse(pool);
    }

    /** Returns the channel of the connection. */
    public Channel channel() {
        return channel;
    }

    /** Creates a handler for the events of the channel. */
    ChannelHandler newHandler() {
        return new UpstreamChannelHandler(this, reader, new ResponseStallCheck(this, channel));
    }

    /** Returns the call that the connection carries, null if there is none. */
    UpstreamCall call() {
        return call;
    }

    /** Returns whether the last byte of the current call's request has been written to the socket. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    /** Returns whether the connection is open and nothing has arrived since it became idle; reads from the socket. */
    boolean isAlive() {
        return channel.isActive() && channel.hasNothingToRead();
    }

    /** Returns the time ({@link System#nanoTime}) at which the connection became idle or began discarding. */
    long idleSinceNanos() {
        return reuse.idleSinceNanos();
    }

    /** Returns whether new requests may be sent to the host's process at the other end of this connection. */
    boolean isReusable() {
        return host.isSendable() && incarnation == host.incarnation();
    }

    /** Writes the request of a call, which can no longer be withheld from the host. */
    void send(UpstreamCall next) {
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

    /** Handles the head of the final response. */
    void onResponseHead(HttpResponse head) {
        reuse.report(false);
        // A response that precedes the request's last byte leaves an incomplete request on the connection.
        keepAlive = requestWritten && HttpUtil.isKeepAlive(head);
        call.onResponseHead(head);
    }

    /** Handles a part of the final response's body. */
    void onResponseContent(HttpContent part, boolean isLast) {
        UpstreamCall receiver = call;
        receiver.onResponseContent(part);
        if (isLast && call == receiver) {
            onResponseEnd();
            receiver.onResponseEnd();
        }
    }

    /** Handles the end of the reads of a turn, which was deferred by the proxy itself if its share was used up. */
    void onReadComplete() {
        channel.recordReadComplete();
        if (channel.isReadDeferred()) {
            decoder.onReadingResumed();
        }
        if (call != null) {
            call.onReadComplete();
        }
    }

    /** Handles the last byte of a response: the connection becomes idle, or is closed. */
    void onResponseEnd() {
        call = null;
        reader.stop();
        decoder.releaseHeaderMemory();
        channel.config().setAutoRead(true);
        if (keepAlive && channel.isActive() && !decoder.hasSurplusBytes() && isReusable()) {
            reuse.onIdle();
            pool.onIdle(host, this);
        } else {
            channel.close();
        }
    }

    // --- the end of a call

    /** Ends the call, which needs only the response's head; the rest is discarded to reuse the connection. */
    public void discardRest() {
        if (call == null) {
            return;
        }
        call = null;
        reader.discardRest();
        decoder.releaseHeaderMemory();
        reuse.onIdle();
        if (keepAlive) {
            pool.onDiscarding(this);
        } else {
            channel.close();
        }
    }

    /** Ends the given call and closes the connection if it carries the call: the response must reach no other. */
    void abort(UpstreamCall abandoned) {
        if (call == abandoned) {
            end();
        }
    }

    /** Ends the current call, if there is one, without a report, and closes the connection. */
    private void end() {
        call = null;
        reader.stop();
        decoder.releaseHeaderMemory();
        channel.close();
    }

    /** Logs a malformed response and fails the connection. */
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
        if (!decoder.hasResponseBegun() && reuse.report(true)) {
            failed.onReusedConnectionLost();
        }
        if (requestWritten) {
            failed.onConnectionLost();
        } else {
            failed.onSendFailed();
        }
    }

    /** Handles an exception of a handler or timer: ends the current call, if any, and closes the connection. */
    void onHandlerFailed(Throwable cause) {
        onHandlerFailed(call, cause);
    }

    /** Handles an exception of a handler: ends the affected call, which may be null, and closes the connection. */
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

    // --- flow control of a response

    /** Returns whether the host has begun its response and reading is not paused. */
    boolean isAwaitingProgress() {
        return call != null && decoder.hasResponseBegun() && channel.config().isAutoRead();
    }

    /** Returns the time ({@link System#nanoTime}) at which the current call's response counts as lost. */
    long stalledAtNanos() {
        return call.stalledAtNanos(decoder.lastReadNanos());
    }

    /** Fails the connection, as the response has stopped half way. */
    void onResponseStalled() {
        fail();
    }

    /** Stops reading from the host until {@link #resumeReading}. */
    public void pauseReading() {
        channel.config().setAutoRead(false);
    }

    /** Resumes reading; the pause does not count as a stall of the host. */
    public void resumeReading() {
        decoder.onReadingResumed();
        channel.config().setAutoRead(true);
    }

    // --- the channel

    /** Notifies the call if the channel accepts more. */
    void onWritabilityChanged() {
        if (call != null && channel.isWritable()) {
            call.onWritable();
        }
    }

    /** Fails the call, if there is one, and removes the closed connection from the pool. */
    void onClosed() {
        fail();
        pool.onClosed(host, this);
    }

    @Override
    public void closeIdle() {
        channel.close();
    }
}
