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
import rillyard.balancer.AttemptOutcome;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.UpstreamConnection;

/**
 * A request body that is longer than may be buffered.
 *
 * <p>What came first is buffered until a connection to a host is up, and may go to another host until then. What
 * follows is forwarded as it comes, as fast as the host takes it, and is not kept: from then on the request can't be
 * retried.
 */
public final class StreamingUpload {
    private final BufferedBody start;
    private final long contentLength;
    private Channel hostChannel;
    private ChannelPromise lastByteWritten;
    private boolean complete;
    private boolean consumed;
    private boolean mayHaveExecuted;

    /**
     * Creates the upload of a body of which a part has come.
     *
     * @param start what has come
     * @param contentLength length of the complete body in bytes, -1 if unknown
     */
    public StreamingUpload(BufferedBody start, long contentLength) {
        this.start = start;
        this.contentLength = contentLength;
    }

    /** Returns whether bytes have been forwarded that are not kept. */
    boolean isConsumed() {
        return consumed;
    }

    /** Returns whether a host may have executed the request, by the outcomes of the attempts that have ended. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Returns whether it can't go to another connection, now or at all. */
    boolean isBound() {
        return consumed || (hostChannel != null && !complete);
    }

    /** Returns whether its last byte has come. */
    boolean isComplete() {
        return complete;
    }

    /** Returns whether more of it should be read from the client now. */
    public boolean hasCapacity() {
        return hostChannel != null && hostChannel.isWritable();
    }

    /** Writes the head and what is buffered; returns the future of the body's last byte. */
    ChannelFuture writeTo(Channel channel, HttpRequest head, HttpHeaders headers) {
        if (contentLength >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        for (ByteBuf block : start.retainedBlocks()) {
            channel.write(new DefaultHttpContent(block));
        }
        hostChannel = channel;
        lastByteWritten = channel.newPromise();
        if (complete) {
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT, lastByteWritten);
        }
        channel.flush();
        return lastByteWritten;
    }

    /** Takes more of the body; the caller keeps its own reference. */
    public void append(ByteBuf bytes) {
        if (hostChannel == null) {
            start.append(bytes); // read before the client was paused: a few reads at the most
            return;
        }
        consumed = true;
        start.release();
        hostChannel.writeAndFlush(new DefaultHttpContent(bytes.retain()));
    }

    /** The last byte has come. */
    void complete() {
        complete = true;
        if (hostChannel != null) {
            hostChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, lastByteWritten);
        }
    }

    /** An attempt has ended that used this connection; null if it had none. */
    void onAttemptEnded(UpstreamConnection connection, AttemptOutcome outcome) {
        mayHaveExecuted |= !outcome.provesNotExecuted();
        if (connection != null && connection.channel() == hostChannel) {
            hostChannel = null;
        }
    }

    /** Frees what is buffered. */
    void release() {
        start.release();
    }
}
