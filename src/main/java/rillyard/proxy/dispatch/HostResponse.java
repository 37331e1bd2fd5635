package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import rillyard.balancer.AttemptOutcome;
import rillyard.proxy.resources.BufferedBody;

/** Handles the successful response to one attempt: buffers it, or forwards it while it is received if it is long. */
final class HostResponse {
    /** Nanoseconds without progress after which a response that may be a long one can count as lost. */
    static final long UNKNOWN_LENGTH_STALL_NANOS = 500_000_000L;

    /** Nanoseconds past the deadline at which a short response ends; past 500 ms its request counts as lost. */
    private static final long MAX_LATE_END_NANOS = 400_000_000L;

    /** Pause that is allowed to a host within a response, as a multiple of its longest pause in that response. */
    private static final long PAUSE_FACTOR = 2;

    private final UpstreamAttempt attempt;
    private final RequestExchange exchange;
    private final BalancerDriver driver;
    private final HttpResponse head;
    private final long contentLength;
    private long receivedBytes;
    private long lastContentNanos = System.nanoTime();
    private long longestPauseNanos;
    private boolean isAwaitingMemory;
    /** Null unless the length of the response is unknown. */
    private Future<?> forwardingTimer;
    /** Null unless the response is being buffered. */
    private ResponseBuffer buffer;
    /** Null unless the response is, or was, forwarded. */
    private ForwardedResponse forwarded;

    /** Creates a response whose head has been received; it is not processed before {@link #begin}. */
    HostResponse(UpstreamAttempt attempt, RequestExchange exchange, BalancerDriver driver, HttpResponse head) {
        this.attempt = attempt;
        this.exchange = exchange;
        this.driver = driver;
        this.head = head;
        this.contentLength = HttpUtil.getContentLength(head, -1L);
    }

    /** Begins to buffer or forward the response, or ends the attempt if the response is not acceptable. */
    void begin() {
        if (!isAcceptable()) {
            attempt.onConnectionLost();
            return;
        }
        buffer = new ResponseBuffer(driver, contentLength, this::resumeBuffering);
        if (buffer.isTooLong()) {
            startForwarding();
        } else if (contentLength < 0) {
            forwardingTimer =
                    exchange.scheduleForAttempt(ResponseBuffer.MAX_UNKNOWN_LENGTH_MILLIS, this::forwardIfBuffered);
        }
    }

    /** Forwards a response of unknown length, which may be a long one whose host has paused. */
    void forwardIfBuffered() {
        if (buffer != null && contentLength < 0) {
            startForwarding();
        }
    }

    /**
     * Returns whether the response can be passed on. A response that is longer than the protocol allows may never end;
     * one without a length or chunks, whose connection is nevertheless to stay open, can't be distinguished from a
     * truncated one.
     */
    private boolean isAcceptable() {
        boolean endsWithConnection = contentLength < 0 && !HttpUtil.isTransferEncodingChunked(head);
        return contentLength <= BufferedBody.MAX_BYTES && !(endsWithConnection && HttpUtil.isKeepAlive(head));
    }

    /** Buffers or forwards a part of the body; the caller keeps its own reference. */
    void onContent(ByteBuf content) {
        receivedBytes += content.readableBytes();
        long nowNanos = System.nanoTime();
        longestPauseNanos = Math.max(longestPauseNanos, nowNanos - lastContentNanos);
        lastContentNanos = nowNanos;
        if (receivedBytes > BufferedBody.MAX_BYTES) {
            attempt.onConnectionLost(); // longer than the protocol allows
        } else if (isForwarded()) {
            forwarded.forward(content.retain());
        } else if (content.isReadable()) {
            buffer(content);
        }
    }

    private void buffer(ByteBuf content) {
        buffer.append(content);
        if (buffer.isTooLong()) {
            startForwarding();
        } else if (buffer.awaitMemoryIfExhausted()) {
            isAwaitingMemory = true;
            attempt.connection().pauseReading();
        }
    }

    private void resumeBuffering() {
        if (buffer != null) {
            endMemoryWait();
        }
    }

    private void endMemoryWait() {
        if (isAwaitingMemory) {
            isAwaitingMemory = false;
            attempt.connection().resumeReading();
        }
    }

    /** Forwards the response from here on, or ends the attempt if the request has a response already. */
    private void startForwarding() {
        ForwardedResponse stream = new ForwardedResponse(attempt, exchange, driver.upstreams());
        if (!exchange.response().beginStream(stream, head, contentLength)) {
            attempt.finish(AttemptOutcome.OK);
            return;
        }
        forwarded = stream;
        ResponseBuffer prefix = buffer;
        buffer = null;
        attempt.onForwarding();
        endMemoryWait(); // an earlier part of the same read may have paused reading
        try {
            for (ByteBuf block : prefix.retainedBlocks()) {
                stream.forward(block);
            }
            stream.flush(); // the host may pause now
        } finally {
            prefix.release();
        }
    }

    /** Returns whether the response is, or was, forwarded. */
    boolean isForwarded() {
        return forwarded != null;
    }

    /**
     * See {@link UpstreamAttempt#stalledAtNanos}. A response that is buffered is given up early only if that leaves time
     * for another attempt. A host that has paused before, and gone on, may pause for longer than others.
     */
    long stalledAtNanos(long lastReadNanos) {
        long stalledAtNanos = lastReadNanos + ForwardedResponse.STALL_NANOS;
        if (!isForwarded()) {
            return exchange.isRepeatable()
                    ? lastReadNanos + UpstreamAttempt.STALL_NANOS
                    : Math.min(stalledAtNanos, endOfTimeNanos());
        }
        boolean mayBeShort = contentLength < 0 && receivedBytes <= BufferedBody.MAX_BUFFERED_BYTES;
        if (!mayBeShort) {
            return stalledAtNanos;
        }
        long maxPauseNanos = Math.max(UNKNOWN_LENGTH_STALL_NANOS, PAUSE_FACTOR * longestPauseNanos);
        return Math.min(stalledAtNanos, Math.max(lastReadNanos + maxPauseNanos, endOfTimeNanos()));
    }

    private long endOfTimeNanos() {
        return driver.toNanoTime(exchange.deadlineAtMillis()) + MAX_LATE_END_NANOS;
    }

    /** Handles the end of a read: what has been received of a forwarded response is sent. */
    void onReadComplete() {
        if (isForwarded()) {
            forwarded.flush();
        }
    }

    /** Handles the end of the body: ends the forwarded response, or delivers the buffered one. */
    void onEnd() {
        if (isForwarded()) {
            forwarded.end(true);
        } else {
            exchange.response().complete(head, buffer.takeBody());
            attempt.finish(AttemptOutcome.OK);
        }
    }

    /** Ends a forwarded response that was truncated. */
    void onTruncated() {
        forwarded.end(false);
    }

    /** Frees the buffered part. */
    void release() {
        if (forwardingTimer != null) {
            forwardingTimer.cancel(false);
        }
        if (buffer != null) {
            ResponseBuffer released = buffer;
            buffer = null;
            released.release();
        }
    }

    /** Returns the numbers of received and of announced bytes (-1 if unknown), for the log. */
    String progress() {
        return receivedBytes + "/" + contentLength;
    }
}
