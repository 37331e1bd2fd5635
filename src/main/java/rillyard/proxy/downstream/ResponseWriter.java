package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import rillyard.proxy.dispatch.ResponseReceiver;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.CompactBuffers;
import rillyard.proxy.resources.PartGatherer;

/** Writes the responses of one client connection, and tracks since when the client has not read them. */
final class ResponseWriter implements ResponseReceiver {

    private final ClientConnection connection;
    private final Channel channel;
    private final BodyMemoryBudget memory;
    private final PartGatherer gatherer = new PartGatherer(this::writeContent);
    private long queuedBytes;
    private boolean isPausedForMemory;
    private long blockedSinceNanos;
    private long writingSinceNanos;
    /** Null unless the end of a response is being written. */
    private ChannelFuture lastWrite;

    /** Creates a writer that charges what its client has not read of a forwarded response to {@code memory}. */
    ResponseWriter(ClientConnection connection, Channel channel, BodyMemoryBudget memory) {
        this.connection = connection;
        this.channel = channel;
        this.memory = memory;
    }

    /** Sends status 100 (Continue) to a client that waits for it before it sends the body. */
    void writeContinue() {
        channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    @Override
    public void sendStatus(int status, double retryAfterMillis) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (retryAfterMillis > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, ProtocolHeaders.toSeconds(retryAfterMillis));
        }
        connection.onResponseWritten(channel.writeAndFlush(withConnectionHeader(response)));
    }

    @Override
    public void sendResponse(HttpResponse hostResponse, BufferedBody body) {
        HttpHeaders headers = hostResponse.headers();
        ProtocolHeaders.dropHopByHop(headers);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.size());
        ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : joinBlocks(body);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content, headers, ProtocolHeaders.NONE);
        ChannelFuture written = write(withConnectionHeader(response), body);
        connection.onResponseWritten(written);
    }

    @Override
    public void beginResponse(HttpResponse hostResponse, long contentLength) {
        HttpHeaders headers = hostResponse.headers();
        ProtocolHeaders.dropHopByHop(headers);
        if (contentLength >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        write(
                withConnectionHeader(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers)),
                null);
    }

    @Override
    public boolean sendContent(ByteBuf content) {
        try {
            gatherer.append(content);
        } finally {
            content.release();
        }
        return channel.isWritable() && !isPausedForMemory;
    }

    @Override
    public void flushContent() {
        gatherer.flush();
    }

    private void writeContent(ByteBuf content) {
        ByteBuf part = CompactBuffers.compact(content, channel.alloc());
        int bytes = part.readableBytes();
        ChannelFuture written = write(new DefaultHttpContent(part), null);
        if (!written.isDone()) {
            queuedBytes += bytes;
            memory.charge(bytes, false);
            written.addListener(future -> onContentWritten(bytes));
        }
        isPausedForMemory = queuedBytes > 0 && memory.isExhausted(Long.MAX_VALUE);
    }

    private void onContentWritten(int bytes) {
        queuedBytes -= bytes;
        memory.release(bytes, false);
        if (isPausedForMemory && queuedBytes == 0) {
            isPausedForMemory = false;
            connection.onResponseTaken();
        }
    }

    @Override
    public void endResponse() {
        gatherer.flush();
        connection.onResponseWritten(write(LastHttpContent.EMPTY_LAST_CONTENT, null));
    }

    @Override
    public void abortResponse() {
        gatherer.release();
        connection.onResponseAborted();
    }

    @Override
    public void failResponse() {
        connection.closeAfterResponse();
        if (connection.hasExchange()) { // no complete response was passed to the channel yet
            sendStatus(HttpResponseStatus.BAD_GATEWAY.code(), 0);
        } else {
            connection.onResponseAborted();
        }
    }

    @Override
    public boolean isClientPresent() {
        return connection.isClientPresent();
    }

    @Override
    public void resumeRequestBody() {
        connection.resumeUpload();
    }

    /** Frees what has not been written, as the connection is closed. */
    void release() {
        gatherer.release();
    }

    /** Regards the response as being written until {@code written}, its last write, is done. */
    void awaitWritten(ChannelFuture written) {
        if (!written.isDone()) {
            lastWrite = written;
            writingSinceNanos = System.nanoTime();
            written.addListener(future -> onWritten(written));
        }
    }

    private void onWritten(ChannelFuture written) {
        if (written == lastWrite) { // else a later response is being written
            lastWrite = null;
            writingSinceNanos = 0;
            connection.onWritingEnded();
        }
    }

    /** Records the channel's writability; returns whether it is writable. */
    boolean updateWritability() {
        blockedSinceNanos = channel.isWritable() ? 0 : System.nanoTime();
        return blockedSinceNanos == 0;
    }

    /** Returns whether the end of a response has not been written yet. */
    boolean isWriting() {
        return writingSinceNanos != 0;
    }

    /** Returns whether the end of a response has been waiting for the client for longer than {@code nanos}. */
    boolean isWritingLongerThan(long nanos, long nowNanos) {
        return writingSinceNanos != 0 && nowNanos - writingSinceNanos > nanos;
    }

    /** Returns whether the channel has been unwritable for longer than {@code nanos}. */
    boolean isBlockedLongerThan(long nanos, long nowNanos) {
        return blockedSinceNanos != 0 && nowNanos - blockedSinceNanos > nanos;
    }

    private HttpResponse withConnectionHeader(HttpResponse response) {
        if (connection.isLastResponse()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /**
     * Writes a part of a response, and releases {@code body}, which may be null, once it is written.
     *
     * @throws IllegalStateException if a handler has failed; nothing of this part is written then
     */
    private ChannelFuture write(Object part, BufferedBody body) {
        ChannelFuture written = channel.writeAndFlush(part);
        if (body != null) {
            written.addListener(future -> body.release());
        }
        if (ClientFailureHandler.hasFailedInHandler(written)) {
            throw new IllegalStateException("response: not written", written.cause());
        }
        return written;
    }

    private static ByteBuf joinBlocks(BufferedBody body) {
        ByteBuf[] blocks = body.retainedBlocks().toArray(ByteBuf[]::new);
        return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
    }
}
