package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * A connection to a host. It carries one call at a time and returns to its pool in between.
 *
 * <p>Confined to the event loop of its channel.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter implements DescriptorBudget.IdleConnection {
    private enum State {
        /** No call is assigned; bytes that arrive belong to no request. */
        IDLE,
        /** A call is assigned; the head of its final response has not been read. */
        AWAITING_RESPONSE,
        /** An interim (1xx) response to the call is being read. */
        READING_INTERIM_RESPONSE,
        /** The body of the call's final response is being read. */
        READING_RESPONSE,
        /** The call is over; the rest of its response is discarded so that the connection can be reused. */
        DISCARDING,
        /** The connection is closed, or about to be, and carries no call. */
        CLOSED
    }

    /** Bytes of a response that are discarded before the connection is closed instead. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private static final long NOT_REUSED = -1;

    private final UpstreamPool pool;
    private final UpstreamHost host;
    private final InetSocketAddress address;
    private final PeekableSocketChannel channel;
    private final UpstreamResponseDecoder decoder;
    private final ResponseStallCheck stallCheck;
    private State state = State.IDLE;
    private UpstreamCall call;
    private boolean requestWritten;
    private boolean keepAlive;
    private int discardedBytes;
    private long idleSinceNanos;
    private long reusedAfterNanos = NOT_REUSED;

    UpstreamConnection(
            UpstreamPool pool, UpstreamHost host, PeekableSocketChannel channel, UpstreamResponseDecoder decoder) {
        this.pool = pool;
        this.host = host;
        this.address = host.address();
        this.channel = channel;
        this.decoder = decoder;
        this.stallCheck = new ResponseStallCheck(this, channel, decoder);
    }

    /** Returns the channel of the connection. */
    public Channel channel() {
        return channel;
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
        return idleSinceNanos;
    }

    /** Returns whether new requests may be sent to the host at the address of this connection. */
    boolean isReusable() {
        return host.isSendable() && address.equals(host.address());
    }

    /** Writes the request of a call; it can't be held back any more. */
    void run(UpstreamCall next) {
        assert channel.eventLoop().inEventLoop();
        call = next;
        state = State.AWAITING_RESPONSE;
        reusedAfterNanos = idleSinceNanos == 0 ? NOT_REUSED : System.nanoTime() - idleSinceNanos;
        decoder.onRequestStarted();
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

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        UpstreamCall receiver = call;
        try {
            read((HttpObject) msg);
        } catch (RuntimeException | Error e) {
            onHandlerFailed(receiver, e);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void read(HttpObject part) {
        if (state == State.IDLE || state == State.CLOSED) {
            // Surplus bytes behind one response would otherwise be taken for the response to the next request.
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            pool.onMalformedResponse(host, part.decoderResult().cause());
            fail();
            return;
        }
        if (part instanceof HttpResponse head) {
            readHead(head);
        }
        // A response without a length ends with its connection: its last part arrives on a closed channel.
        if (part instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                fail(); // no request asks for another protocol
            } else {
                state = State.READING_INTERIM_RESPONSE;
            }
            return;
        }
        state = State.READING_RESPONSE;
        reportReuse(false);
        // A response that precedes the request's last byte leaves an incomplete request on the connection.
        keepAlive = requestWritten && HttpUtil.isKeepAlive(head);
        call.onResponseHead(head);
    }

    private void readContent(HttpContent part) {
        boolean isLast = part instanceof LastHttpContent;
        switch (state) {
            case READING_INTERIM_RESPONSE -> {
                if (isLast) {
                    state = State.AWAITING_RESPONSE;
                    decoder.onInterimResponseEnd();
                }
            }
            case READING_RESPONSE -> deliver(part, isLast);
            case DISCARDING -> discard(part, isLast);
            default -> channel.close(); // the call ended with the head of this very response
        }
    }

    private void deliver(HttpContent part, boolean isLast) {
        UpstreamCall receiver = call;
        receiver.onResponseContent(part);
        if (isLast && call == receiver) {
            onResponseEnd();
            receiver.onResponseEnd();
        }
    }

    private void discard(HttpContent part, boolean isLast) {
        discardedBytes += part.content().readableBytes();
        if (isLast) {
            onResponseEnd();
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            channel.close();
        }
    }

    private void onResponseEnd() {
        call = null;
        channel.config().setAutoRead(true);
        if (keepAlive && channel.isActive() && !decoder.hasSurplusBytes() && isReusable()) {
            state = State.IDLE;
            idleSinceNanos = System.nanoTime();
            pool.onIdle(host, this);
        } else {
            state = State.CLOSED;
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
        state = State.DISCARDING;
        discardedBytes = 0;
        idleSinceNanos = System.nanoTime();
        if (keepAlive) {
            pool.onDiscarding(this);
        } else {
            channel.close();
        }
    }

    /** Ends the given call, if the connection carries it, and closes the connection: its response must reach no other. */
    void abort(UpstreamCall abandoned) {
        if (call == abandoned) {
            call = null;
            state = State.CLOSED;
            channel.close();
        }
    }

    /** Closes the connection and reports its end to the call, if it carries one. */
    private void fail() {
        UpstreamCall failed = call;
        try {
            call = null;
            state = State.CLOSED;
            channel.close();
            if (failed != null) {
                reportEnd(failed);
            }
        } catch (RuntimeException | Error e) {
            onHandlerFailed(failed, e);
        }
    }

    private void reportEnd(UpstreamCall failed) {
        if (!decoder.hasBegun()) {
            reportReuse(true);
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
        call = null;
        state = State.CLOSED;
        channel.close();
        if (affected == null) {
            return;
        }
        try {
            affected.onHandlerFailed();
        } catch (RuntimeException | Error e) {
            pool.onHandlerFailed(host, e);
        }
    }

    private void reportReuse(boolean wasReset) {
        if (reusedAfterNanos != NOT_REUSED) {
            pool.onReuse(reusedAfterNanos, wasReset);
            reusedAfterNanos = NOT_REUSED;
        }
    }

    // --- stalled responses

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        stallCheck.onReadComplete();
    }

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

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null && channel.isWritable()) {
            call.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail();
        pool.onClosed(host, this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            fail();
        } else if (cause instanceof DecoderException) {
            pool.onMalformedResponse(host, cause);
            fail();
        } else {
            onHandlerFailed(cause);
        }
    }

    @Override
    public void closeIdle() {
        channel.close();
    }
}
