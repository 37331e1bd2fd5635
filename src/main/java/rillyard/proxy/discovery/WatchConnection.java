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
 * One connection of an {@link EndpointWatch} to discovery: sends the call and reads lists until it ends.
 *
 * <p>Once it has ended it reports nothing more. Confined to the event loop.
 */
final class WatchConnection extends ChannelInboundHandlerAdapter implements JsonObjectFramer.Listener {
    private enum State {
        /** Neither a list nor a blank line has come yet. */
        UNCONFIRMED,
        /** The watch has shown a sign of life. */
        LIVE,
        /** The connection is closed, or about to be. */
        ENDED
    }

    private final EndpointWatch watch;
    private final Channel channel;
    private final JsonObjectFramer framer = new JsonObjectFramer();
    private State state = State.UNCONFIRMED;
    private boolean isConnected;
    private long lastSignOfLifeNanos = System.nanoTime();

    WatchConnection(EndpointWatch watch, Channel channel) {
        this.watch = watch;
        this.channel = channel;
    }

    /** Sends the call for all changes since a version. */
    void onConnected(InetSocketAddress address, long version) {
        if (state == State.ENDED) {
            channel.close();
            return;
        }
        isConnected = true;
        lastSignOfLifeNanos = System.nanoTime();
        channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/catalog/members?follow=1&since=" + version,
                Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** Returns whether neither a list nor a blank line has come for too long. */
    boolean isSilent(long now) {
        long limitNanos = state == State.LIVE ? EndpointWatch.SILENCE_NANOS : EndpointWatch.UNANSWERED_NANOS;
        return now - lastSignOfLifeNanos > limitNanos;
    }

    /** Returns whether a list or a blank line should have come by now, so that the connection may be broken. */
    boolean isOverdue(long now, boolean isPolling) {
        boolean mayWait = state == State.LIVE || (isPolling && isConnected); // a poll is answered after 2 s at most
        long limitNanos = mayWait ? EndpointWatch.OVERDUE_NANOS : EndpointWatch.OVERDUE_ATTEMPT_NANOS;
        return now - lastSignOfLifeNanos > limitNanos;
    }

    /** Reads from the socket at once, if the connection is up. */
    void readPending() {
        if (channel instanceof AbstractNioChannel socket && socket.isActive()) {
            socket.unsafe().read();
        }
    }

    /** Ends the connection without a report. */
    void close() {
        state = State.ENDED;
        channel.close();
    }

    /** Ends the connection and reports it, unless it has ended before. */
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
            return; // ended by a list that came in the same read
        }
        EndpointRegistry.EndpointList list;
        try {
            list = parse(bytes, length);
        } catch (MalformedEndpointListException e) {
            failMalformed(e);
            return;
        }
        watch.onList(list, state == State.UNCONFIRMED);
        recordSignOfLife();
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
        recordSignOfLife();
    }

    /** Only complete lists and blank lines are signs of life; bytes that never become a complete list are none. */
    private void recordSignOfLife() {
        if (state == State.ENDED) {
            return; // ended by something that came in the same read
        }
        lastSignOfLifeNanos = System.nanoTime();
        state = State.LIVE;
        watch.onSignOfLife(this);
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
            watch.log().error("the watch failed", cause);
        }
        fail("failed");
    }
}
