package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import rillyard.balancer.AttemptOutcome;
import rillyard.proxy.resources.BufferedBody;

/** The successful response of a host to one attempt: buffered at first, and forwarded as it comes if it is long. */
final class HostResponse {
    private final UpstreamAttempt attempt;
    private final RequestExchange exchange;
    private final BalancerDriver driver;
    private final HttpResponse head;
    private final long contentLength;
    private long receivedBytes;
    private boolean isAwaitingMemory;
    /** Null unless the response is being buffered. */
    private ResponseBuffer buffer;
    /** Null unless the response is, or was, forwarded. */
    private ForwardedResponse forwarded;

    /** Creates a response whose head has come; nothing is done with it before {@link #begin}. */
    HostResponse(UpstreamAttempt attempt, RequestExchange exchange, BalancerDriver driver, HttpResponse head) {
        this.attempt = attempt;
        this.exchange = exchange;
        this.driver = driver;
        this.head = head;
        this.contentLength = HttpUtil.getContentLength(head, -1L);
    }

    /** Begins to buffer or to forward it, or ends the attempt if neither is possible. */
    void begin() {
        if (!isAcceptable()) {
            attempt.onConnectionLost();
            return;
        }
        buffer = new ResponseBuffer(driver, contentLength, this::resumeBuffering);
        if (buffer.isTooLong()) {
            startForwarding();
        }
    }

    /**
     * Returns whether it can be passed on. A response that is longer than any may be never ends; one that ends with its
     * connection, which is to stay open, can't be told from one that broke off.
     */
    private boolean isAcceptable() {
        boolean endsWithConnection = contentLength < 0 && !HttpUtil.isTransferEncodingChunked(head);
        return contentLength <= BufferedBody.MAX_BYTES && !(endsWithConnection && HttpUtil.isKeepAlive(head));
    }

    /** Takes a part of the body; the caller keeps its own reference. */
    void onContent(ByteBuf content) {
        receivedBytes += content.readableBytes();
        if (receivedBytes > BufferedBody.MAX_BYTES) {
            attempt.onConnectionLost(); // longer than any response may be
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
        } else if (buffer.mustAwaitMemory()) {
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

    /** Makes it the response of the request, unless that has another one, and forwards it from here on. */
    private void startForwarding() {
        ForwardedResponse stream = new ForwardedResponse(attempt, exchange, driver.upstreams());
        if (!exchange.response().beginStream(stream, head, contentLength)) {
            attempt.finish(AttemptOutcome.OK);
            return;
        }
        forwarded = stream;
        ResponseBuffer start = buffer;
        buffer = null;
        attempt.onForwarding();
        endMemoryWait(); // a further part of the same read has made it too long to buffer
        try {
            for (ByteBuf block : start.retainedBlocks()) {
                stream.forward(block);
            }
        } finally {
            start.release();
        }
    }

    /** Returns whether it is forwarded as it comes, or was. */
    boolean isForwarded() {
        return forwarded != null;
    }

    /** The last byte of the body has come. */
    void onEnd() {
        if (isForwarded()) {
            forwarded.end(true);
        } else {
            exchange.response().complete(head, buffer.takeBody());
            attempt.finish(AttemptOutcome.OK);
        }
    }

    /** It has broken off while it was forwarded. */
    void onBrokenOff() {
        forwarded.end(false);
    }

    /** Frees what is buffered. */
    void release() {
        if (buffer != null) {
            ResponseBuffer released = buffer;
            buffer = null;
            released.release();
        }
    }

    /** Returns the received and the announced bytes, for the log. */
    String progress() {
        return receivedBytes + "/" + contentLength;
    }
}
