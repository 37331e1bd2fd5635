package rillyard.loadgen;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import rillyard.requestlog.ClientOutcome;

/** One connection of a client, which carries one attempt at a time. Confined to the transport's event loop. */
final class HttpConnection extends ChannelInboundHandlerAdapter {
    private static final HttpDecoderConfig LIMITS =
            new HttpDecoderConfig().setMaxInitialLineLength(4_096).setMaxHeaderSize(16_384);

    private final HttpTransport transport;
    private final SocketChannel channel;
    private final int client;
    private HttpExchange exchange;
    private String lastId;
    private boolean written;
    private boolean informational;
    private boolean keepAlive;
    private boolean hasServed;
    private long idleSinceNanos;

    HttpConnection(HttpTransport transport, SocketChannel channel, int client) {
        this.transport = transport;
        this.channel = channel;
        this.client = client;
    }

    /** Installs the handlers in the channel's pipeline. */
    void begin() {
        channel.pipeline().addLast(new HttpResponseDecoder(LIMITS), this);
        channel.closeFuture().addListener(f -> transport.onClosed(this));
    }

    /** Returns the number of the client that owns the connection. */
    int client() {
        return client;
    }

    /** Returns whether the connection is open and carries no attempt. */
    boolean isUsable() {
        return channel.isActive() && exchange == null;
    }

    /** Closes the connection. */
    void close() {
        channel.close();
    }

    /**
     * Returns how long the connection has been idle in nanoseconds, or 0 while it carries an attempt or before its
     * first one.
     */
    long idleNanos(long nowNanos) {
        return exchange == null && idleSinceNanos != 0 ? nowNanos - idleSinceNanos : 0;
    }

    /** Sends an attempt on this connection, which must be usable. */
    void run(HttpExchange httpExchange) {
        exchange = httpExchange;
        httpExchange.channel(channel);
        keepAlive = false;
        written = false;
        ChannelFuture future = channel.writeAndFlush(httpExchange.bytes(channel.alloc()));
        if (future.isDone()) {
            written = future.isSuccess();
        } else {
            future.addListener(completed -> written = future.isSuccess());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            onPart((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void onPart(HttpObject part) {
        if (!channel.isOpen()) {
            return;
        }
        if (exchange == null || exchange.ended()) {
            if (lastId != null && exchange == null) {
                transport.onUnexpectedResponse(lastId);
            }
            channel.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            end(new Transport.AttemptResult(ClientOutcome.GARBLED, 0, 0), false);
            return;
        }
        if (part instanceof HttpResponse response) {
            informational = response.status().code() < 200; // 1xx responses precede the final one
            if (!informational) {
                exchange.onResponseHead(response);
                keepAlive = HttpUtil.isKeepAlive(response);
            }
        }
        if (informational || !exchange.hasResponseHead()) {
            return;
        }
        if (part instanceof HttpContent content && !exchange.onResponseBody(content)) {
            end(new Transport.AttemptResult(ClientOutcome.GARBLED, 0, 0), false);
        } else if (part instanceof LastHttpContent) {
            Transport.AttemptResult result = exchange.result();
            end(result, keepAlive && result.outcome() != ClientOutcome.GARBLED);
        }
    }

    private void end(Transport.AttemptResult result, boolean reusable) {
        HttpExchange ended = exchange;
        exchange = null;
        lastId = ended.request().id();
        hasServed = true;
        if (reusable) {
            idleSinceNanos = System.nanoTime();
            transport.onIdle(this);
        } else {
            channel.close();
        }
        ended.end(result);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (exchange != null && !exchange.ended()) {
            ClientOutcome outcome = !written
                    ? ClientOutcome.UNREACHABLE
                    : hasServed && !exchange.hasResponseHead() ? ClientOutcome.STALE : ClientOutcome.BROKEN;
            end(new Transport.AttemptResult(outcome, 0, 0), false);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close(); // channelInactive ends the attempt
    }
}
