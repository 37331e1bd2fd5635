package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/** A connection to a host. It carries one call at a time and goes back to its pool in between. */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter implements DescriptorBudget.IdleConnection {
    /** Tells of bytes that came behind the end of an answer, and when the last ones came. */
    static final class Decoder extends HttpResponseDecoder {
        private boolean begun;
        private long readAt;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
            begun = true;
            readAt = System.nanoTime();
            super.channelRead(ctx, msg);
        }

        boolean surplus() {
            return actualReadableBytes() > 0;
        }

        /** Guards against an answer whose two lengths say two things (RFC 9112, 6.3). */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }

        /**
         * Guards against a head that can't be read and is served all the same: the base class takes a
         * line with no colon for a field with no value. RFC 9112, 5: name, colon, value.
         */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            int colon = start + length;
            if (length == 0 || colon >= line.length || line[colon] != ':') {
                throw new IllegalArgumentException("a header line is not name:value");
            }
            return super.splitHeaderName(line, start, length);
        }
    }

    private enum Reply {
        NONE,
        INTERIM,
        BODY,
        /** The call is over, the rest of its answer is thrown away so that the connection can stay. */
        UNWANTED
    }

    /** What of an unwanted answer is read before the connection is given up instead. */
    private static final int UNWANTED_BYTES = 64 * 1024;

    /** A timer that fires later than this (ns) tells of a loop that has reads to catch up with. */
    private static final long LATE_NANOS = 10_000_000L;

    private final UpstreamPool pool;
    private final UpstreamHost host;
    private final InetSocketAddress address;
    private final PeekableSocketChannel channel;
    private final Decoder decoder;
    private UpstreamCall call;
    private Reply reply = Reply.NONE;
    private boolean written;
    private boolean keep;
    private boolean stallTimer;
    private int unwanted;
    private long since;
    private long reusedAfter = -1;

    UpstreamConnection(UpstreamPool pool, UpstreamHost host, PeekableSocketChannel channel, Decoder decoder) {
        this.pool = pool;
        this.host = host;
        this.address = host.address;
        this.channel = channel;
        this.decoder = decoder;
    }

    public Channel channel() {
        return channel;
    }

    /** Whether the last byte of the present call has been given to the kernel. */
    boolean written() {
        return written;
    }

    /** Whether nothing has come or ended here since it went idle; asks the socket itself. */
    boolean alive() {
        return channel.isActive() && channel.hasNothingToRead();
    }

    /** Nanoseconds at which it went idle or its unwanted rest began. */
    long since() {
        return since;
    }

    boolean reusable() {
        return host.sendable && address.equals(host.address);
    }

    /** Writes the call; the last moment at which it can be held back has passed. */
    void run(UpstreamCall next) {
        call = next;
        reusedAfter = since == 0 ? -1 : System.nanoTime() - since;
        decoder.begun = false;
        reply = Reply.NONE;
        written = false;
        keep = true;
        next.attached(this);
        next.write(channel).addListener(f -> {
            if (call == next) {
                if (f.isSuccess()) {
                    written = true;
                    next.onWritten();
                } else {
                    lost();
                }
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (call == null && reply != Reply.UNWANTED) {
                // Guards against surplus bytes of one answer that would be taken for the next one's.
                channel.close();
                return;
            }
            HttpObject part = (HttpObject) msg;
            if (part.decoderResult().isFailure()) {
                pool.malformed(host, part.decoderResult().cause());
                lost();
                return;
            }
            if (part instanceof HttpResponse head) {
                head(head);
            }
            // An answer without a length ends with its connection: its last part comes on a closed channel.
            if (part instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void head(HttpResponse head) {
        HttpStatusClass kind = head.status().codeClass();
        if (kind == HttpStatusClass.INFORMATIONAL) {
            if (head.status().code() == 101) {
                lost(); // nobody asked for another protocol
            } else {
                reply = Reply.INTERIM;
            }
            return;
        }
        reply = Reply.BODY;
        reused(false);
        // An answer ahead of the request's last byte leaves a half-sent request behind it.
        keep = written && HttpUtil.isKeepAlive(head);
        call.onResponseHead(head);
    }

    private void content(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (reply == Reply.INTERIM) {
            if (last) {
                reply = Reply.NONE;
                decoder.begun = decoder.surplus();
            }
            return;
        }
        if (call != null) {
            UpstreamCall upstreamCall = call;
            upstreamCall.onResponseContent(part);
            if (last && call == upstreamCall) {
                finished();
                upstreamCall.onResponseEnd();
            }
        } else {
            unwanted += part.content().readableBytes();
            if (last) {
                finished();
            } else if (unwanted > UNWANTED_BYTES) {
                channel.close();
            }
        }
    }

    private void finished() {
        call = null;
        reply = Reply.NONE;
        channel.config().setAutoRead(true);
        if (keep && channel.isActive() && !decoder.surplus() && reusable()) {
            since = System.nanoTime();
            pool.idle(host, this);
        } else {
            channel.close();
        }
    }

    /** The call has learned all it needs from the head; the connection may still be of use. */
    public void discardRest() {
        if (call != null) {
            call = null;
            reply = Reply.UNWANTED;
            unwanted = 0;
            since = System.nanoTime();
            if (keep) {
                pool.discarding(this);
            } else {
                channel.close();
            }
        }
    }

    /** Gives the call up: nothing that comes later may reach another one. */
    void abort(UpstreamCall given) {
        if (call == given) {
            call = null;
            channel.close();
        }
    }

    private void reused(boolean broke) {
        if (reusedAfter >= 0) {
            pool.reused(reusedAfter, broke);
            reusedAfter = -1;
        }
    }

    private void lost() {
        UpstreamCall upstreamCall = call;
        boolean sent = written;
        call = null;
        channel.close();
        if (upstreamCall != null) {
            if (!decoder.begun) {
                reused(true);
            }
            if (sent) {
                upstreamCall.onConnectionLost();
            } else {
                upstreamCall.onNotSent();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!stallTimer && mayStall()) {
            watchStall(call.stallNanos());
        }
    }

    private boolean mayStall() {
        return call != null && decoder.begun && channel.config().isAutoRead();
    }

    /**
     * Guards against an answer that stops half way on an open connection: what waits for it can know
     * long before its deadline.
     */
    private void watchStall(long nanos) {
        stallTimer = true;
        long due = System.nanoTime() + nanos;
        channel.eventLoop()
                .schedule(
                        () -> {
                            stallTimer = false;
                            if (!mayStall()) {
                                return;
                            }
                            long now = System.nanoTime();
                            long left = decoder.readAt + call.stallNanos() - now;
                            if (left > 0) {
                                watchStall(left);
                            } else if (now - due > LATE_NANOS) {
                                watchStall(LATE_NANOS); // the loop was late: what has come meanwhile is read first
                            } else {
                                lost();
                            }
                        },
                        nanos,
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null && channel.isWritable()) {
            call.onWritable();
        }
    }

    /** Reads on after a pause of ours, which is none of the host's. */
    public void resumeReading() {
        decoder.readAt = System.nanoTime();
        channel.config().setAutoRead(true);
    }

    public void pauseReading() {
        channel.config().setAutoRead(false);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        lost();
        pool.closed(host, this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        lost();
    }

    @Override
    public void closeIdle() {
        channel.close();
    }
}
