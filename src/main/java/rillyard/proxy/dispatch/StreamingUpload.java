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
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.PartGatherer;
import rillyard.proxy.upstream.UpstreamConnection;

/**
 * A request body that is too long to be buffered.
 *
 * <p>Its first part is buffered until a connection to a host is established, and may be sent to another host until
 * then. The rest is forwarded while it is received, as fast as the host reads it, and is not kept: from then on the
 * request can't be retried.
 */
public final class StreamingUpload {
    private final BufferedBody prefix;
    private final long contentLength;
    private final BodyMemoryBudget memory;
    private Channel hostChannel;
    private ChannelPromise lastByteWritten;
    /** Holds small parts that have not been written to the host. */
    private final PartGatherer gatherer = new PartGatherer(this::writePart);

    private long queuedBytes;
    private boolean complete;
    private boolean consumed;
    private boolean mayHaveExecuted;

    /**
     * Creates the upload of a body of which the first part has been received.
     *
     * @param prefix the first part
     * @param contentLength length of the complete body in bytes, -1 if unknown
     * @param memory the budget to which what waits for the host is charged
     */
    public StreamingUpload(BufferedBody prefix, long contentLength, BodyMemoryBudget memory) {
        this.prefix = prefix;
        this.contentLength = contentLength;
        this.memory = memory;
    }

    /** Returns the length of the complete body in bytes, -1 if unknown. */
    public long contentLength() {
        return contentLength;
    }

    /** Returns whether bytes have been forwarded that were not kept. */
    boolean isConsumed() {
        return consumed;
    }

    /** Returns whether a host may have executed the request, judging by the attempts that have ended. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Returns whether the upload can't be sent on another connection, for the time being or for good. */
    boolean isBoundToConnection() {
        return consumed || (hostChannel != null && !complete);
    }

    /** Returns whether the last byte has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Returns whether more of the body should be read from the client now, as its host accepts it. */
    public boolean hasCapacity() {
        return hostChannel != null && hostChannel.isWritable();
    }

    /** Returns the number of bytes that wait for a host to be connected or to accept them. */
    public long bufferedBytes() {
        return prefix.size() + queuedBytes;
    }

    /** Writes the head and the buffered part; returns the future of the write of the body's last byte. */
    ChannelFuture writeTo(Channel channel, HttpRequest head, HttpHeaders headers) {
        if (contentLength >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        for (ByteBuf block : prefix.retainedBlocks()) {
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

    /** Forwards or buffers a part of the body; the caller keeps its own reference. */
    public void append(ByteBuf bytes) {
        if (hostChannel == null) {
            prefix.append(bytes);
            return;
        }
        consumed = true;
        prefix.release();
        gatherer.append(bytes);
    }

    /** Writes a part, which is charged until the host's side of this machine has accepted it. */
    private void writePart(ByteBuf part) {
        int bytes = part.readableBytes();
        queuedBytes += bytes;
        memory.charge(bytes, false);
        hostChannel.write(new DefaultHttpContent(part)).addListener(written -> {
            queuedBytes -= bytes;
            memory.release(bytes, false);
        });
    }

    /** Sends the parts that have been appended. */
    public void flush() {
        if (hostChannel != null) {
            gatherer.flush();
            hostChannel.flush();
        }
    }

    /** Handles the last byte of the body, and ends the request at the host. */
    void complete() {
        complete = true;
        if (hostChannel != null) {
            gatherer.flush();
            hostChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, lastByteWritten);
        }
    }

    /** Handles the end of an attempt; {@code connection} is null if the attempt had none. */
    void onAttemptEnded(UpstreamConnection connection, AttemptOutcome outcome) {
        mayHaveExecuted |= !outcome.provesNotExecuted();
        if (connection != null && connection.channel() == hostChannel) {
            hostChannel = null;
            gatherer.release();
        }
    }

    /** Frees the buffered part. */
    void release() {
        prefix.release();
        gatherer.release();
    }
}
