package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.UpstreamConnection;

/**
 * A request's body that is longer than may be held. What came first is held until a connection to a
 * host is up, and may go to another one until then; what follows goes on as it comes, as fast as the
 * host takes it, and is held nowhere. From its first byte on the request can't be sent again.
 */
public final class StreamingUpload {
    private final BufferedBody start;
    private final long length;
    private Channel to;
    private ChannelPromise written;
    private boolean whole;
    private boolean spent;

    /** {@code start} is what has come; {@code length} the whole length in bytes, -1 if not told. */
    public StreamingUpload(BufferedBody start, long length) {
        this.start = start;
        this.length = length;
    }

    /** Whether bytes have been passed on that are held no more. */
    boolean isConsumed() {
        return spent;
    }

    /** Whether it can't go to another connection, not now or never. */
    boolean isBound() {
        return spent || (to != null && !whole);
    }

    /** Whether its last byte has come. */
    boolean isComplete() {
        return whole;
    }

    /** Whether more of it is to be read from the client now. */
    public boolean hasCapacity() {
        return to != null && to.isWritable();
    }

    /** Writes the head and what is held; the future is that of the last byte of all. */
    ChannelFuture begin(Channel channel, HttpRequest head, HttpHeaders headers) {
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        for (ByteBuf buffer : start.retainedBlocks()) {
            channel.write(new DefaultHttpContent(buffer));
        }
        to = channel;
        written = channel.newPromise();
        if (whole) {
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT, written);
        }
        channel.flush();
        return written;
    }

    /** More has come; the caller keeps its own reference. */
    public void append(ByteBuf bytes) {
        if (to == null) {
            start.append(bytes); // read before the client was paused: a few reads at the most
            return;
        }
        spent = true;
        start.release();
        to.writeAndFlush(new DefaultHttpContent(bytes.retain()));
    }

    /** The last byte has come. */
    void finish() {
        whole = true;
        if (to != null) {
            to.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, written);
        }
    }

    /** An attempt is over that used this connection, if any. */
    void detached(UpstreamConnection by) {
        if (by != null && by.channel() == to) {
            to = null;
        }
    }

    void free() {
        start.release();
    }
}
