package rillyard.proxy.discovery;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import rillyard.settings.JsonTreeReader;

/**
 * One connection of an {@link EndpointWatch} to discovery: sends the watch request and reads lists until it ends.
 *
 * <p>A message of the watch is a complete list or a blank line. Once the connection has ended, it reports nothing more.
 * Confined to the event loop.
 */
final class WatchConnection extends ChannelInboundHandlerAdapter implements JsonObjectFramer.Listener {
    private enum State {
        /** No message has been received yet. */
        UNCONFIRMED,
        /** A message has been received. */
        LIVE,
        /** The connection is closed or being closed. */
        ENDED
    }

    private final EndpointWatch watch;
    private final Channel channel;
    private final JsonObjectFramer framer = new JsonObjectFramer();
    private State state = State.UNCONFIRMED;
    private boolean isConnected;
    private long lastMessageNanos = System.nanoTime();

    WatchConnection(EndpointWatch watch, Channel channel) {
        this.watch = watch;
        this.channel = channel;
    }

    /** Requests all changes since a version. */
    void onConnected(InetSocketAddress address, long version) {
        if (state == State.ENDED) {
            channel.close();
            return;
        }
        isConnected = true;
        lastMessageNanos = System.nanoTime();
        channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/catalog/members?follow=1&since=" + version,
                Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** Returns whether no message has been received for so long that the connection has failed. */
    boolean isSilent(long nowNanos) {
        long limitNanos = state == State.LIVE ? EndpointWatch.SILENCE_NANOS : EndpointWatch.UNANSWERED_NANOS;
        return nowNanos - lastMessageNanos > limitNanos;
    }

    /** Returns whether a message should have been received by now, so that the connection may be broken. */
    boolean isOverdue(long nowNanos, boolean isPolling) {
        boolean mayWait = state == State.LIVE || (isPolling && isConnected); // a poll is answered after at most 2 s
        long limitNanos = mayWait ? EndpointWatch.OVERDUE_NANOS : EndpointWatch.OVERDUE_ATTEMPT_NANOS;
        return nowNanos - lastMessageNanos > limitNanos;
    }

    /** Reads from the socket at once if it is connected. */
    void readPending() {
        if (channel instanceof AbstractNioChannel socket && socket.isActive()) {
            socket.unsafe().read();
        }
    }

    /** Ends the connection without reporting it. */
    void close() {
        state = State.ENDED;
        channel.close();
    }

    /** Ends the connection and reports the reason, unless it has already ended. */
    void fail(String reason) {
        boolean isFirstEnd = state != State.ENDED;
        close();
        if (isFirstEnd) {
            watch.onEnded(this, reason);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (state != State.ENDED) {
                read((HttpObject) msg);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void read(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail("malformed response");
        } else if (part instanceof HttpResponse head && head.status().code() != HttpResponseStatus.OK.code()) {
            fail("unexpected status, status=" + head.status().code());
        } else if (part instanceof HttpContent content) {
            readContent(content);
            if (part instanceof LastHttpContent) {
                fail("ended");
            }
        }
    }

    private void readContent(HttpContent content) {
        try {
            framer.consume(content.content(), this);
        } catch (MalformedEndpointListException e) {
            failMalformed(e);
        }
    }

    @Override
    public void onObject(byte[] bytes, int length) {
        if (state == State.ENDED) {
            return; // ended by an earlier list of the same read
        }
        EndpointRegistry.EndpointList list;
        try {
            list = parse(bytes, length);
        } catch (MalformedEndpointListException e) {
            failMalformed(e);
            return;
        }
        watch.onList(list, state == State.UNCONFIRMED);
        recordMessage();
    }

    private EndpointRegistry.EndpointList parse(byte[] bytes, int length) throws MalformedEndpointListException {
        try {
            return watch.parser().parse(JsonTreeReader.read(bytes, 0, length));
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedEndpointListException(e);
        }
    }

    @Override
    public void onBlankLine() {
        recordMessage();
    }

    /** Records a message: a complete list or a blank line. Bytes that never become a complete list do not count. */
    private void recordMessage() {
        if (state == State.ENDED) {
            return; // ended by earlier input of the same read
        }
        lastMessageNanos = System.nanoTime();
        state = State.LIVE;
        watch.onMessage(this);
    }

    private void failMalformed(MalformedEndpointListException cause) {
        if (state != State.ENDED) {
            watch.onMalformedList(cause.getMessage());
            fail("closed after parse error");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            watch.log().error("watch: connection failed", cause);
        }
        fail("failed");
    }
}
