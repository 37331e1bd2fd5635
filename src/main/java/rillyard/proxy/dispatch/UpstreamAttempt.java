package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.LoadReport;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.LoadReportParser;
import rillyard.proxy.upstream.UpstreamCall;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * One attempt of a request at a host, which ends with exactly one outcome.
 *
 * <p>A short response is buffered until it is complete. A longer one is forwarded as it comes; its attempt has ended
 * for the balancer by then, and only the client and the host are left.
 */
public final class UpstreamAttempt extends UpstreamCall {
    private enum State {
        /** No outcome yet. */
        OPEN,
        /** Ended with success, while the response is forwarded. */
        STREAMING,
        /** Ended. */
        ENDED
    }

    /** How long (ns) a host may pause within a response that is forwarded. */
    private static final long STREAM_STALL_NANOS = 10_000_000_000L;

    /** The most of a response of unknown length that is buffered in the hope of its end. */
    private static final long MAX_UNKNOWN_LENGTH_BYTES = 32 * 1024;

    /** The longest (ms) it is buffered: of a long one the first bytes count, and hosts may send them slowly. */
    private static final double MAX_UNKNOWN_LENGTH_MILLIS = 30;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestExchange exchange;
    private final BalancerDriver driver;
    private final int number;
    private final Runnable memoryWaiter = this::resumeReading;
    private State state = State.OPEN;
    private double sentAt;
    private double notAfter = Double.POSITIVE_INFINITY;
    private Future<?> timeout;
    private Future<?> writeDeadline;
    private LoadReport loadReport;
    private HttpResponse head;
    private double headAt;
    private BufferedBody body;
    private long contentLength;
    private long receivedBytes;

    /**
     * Creates an attempt that is not started.
     *
     * @param number number of the attempt within its request, counted from 0
     * @param sentAt time (ms) of the driver's clock
     */
    UpstreamAttempt(RequestExchange exchange, BalancerDriver driver, UpstreamHost host, int number, double sentAt) {
        super(host);
        this.exchange = exchange;
        this.driver = driver;
        this.number = number;
        this.sentAt = sentAt;
    }

    /**
     * Starts the attempt.
     *
     * @param timeoutMillis time until it ends, 0 for the deadline of the request
     * @param notAfter time (ms) past which it is not written: hosts have forgotten the idempotency key of the request
     *     that it retries; infinite if that does not matter
     */
    void start(double timeoutMillis, double notAfter) {
        this.notAfter = notAfter;
        if (notAfter < Double.POSITIVE_INFINITY) {
            writeDeadline = exchange.scheduleForAttempt(notAfter - driver.now(), this::onWriteDeadline);
        }
        if (timeoutMillis > 0) {
            timeout = exchange.scheduleForAttempt(timeoutMillis, this::onTimeout);
        }
        driver.upstreams().start(this);
    }

    /** Returns whether it has no outcome yet. */
    boolean isOpen() {
        return state == State.OPEN;
    }

    int number() {
        return number;
    }

    // --- the request

    @Override
    public boolean mayBegin() {
        return exchange.mayBegin(notAfter);
    }

    @Override
    public ChannelFuture write(Channel channel) {
        return exchange.writeTo(channel);
    }

    @Override
    public void onWritten() {
        driver.metrics().attemptWritten();
        if (exchange.isUpload()) {
            sentAt = driver.now(); // a host begins with the last byte
        }
    }

    @Override
    public void onWritable() {
        exchange.onHostWritable();
    }

    @Override
    public long stallNanos() {
        return state == State.STREAMING ? STREAM_STALL_NANOS : STALL_NANOS;
    }

    @Override
    public void onNotSent() {
        finish(AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void onLocalFailure() {
        finish(AttemptOutcome.LOCAL_FAILURE);
    }

    @Override
    public void onNotNeeded() {
        finish(AttemptOutcome.NOT_SENT);
    }

    private void onWriteDeadline() {
        if (!mayHaveRun()) {
            finish(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends it as its time is up. What was not written completely never ran, whatever it waited for. */
    void onTimeout() {
        finish(mayHaveRun() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT);
    }

    /** Ends it as its response is not wanted. */
    void cancel() {
        finish(mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT);
    }

    // --- the response

    @Override
    public void onResponseHead(HttpResponse response) {
        loadReport = LoadReportParser.parse(response.headers().get(ProtocolHeaders.SERVER_LOAD));
        if (response.status().code() == OK) {
            onSuccessHead(response);
        } else {
            connection().discardRest();
            finish(outcomeOf(response));
        }
    }

    private AttemptOutcome outcomeOf(HttpResponse errorResponse) {
        int status = errorResponse.status().code();
        boolean isProvenNotProcessed = (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && "1".equals(errorResponse.headers().get(ProtocolHeaders.NOT_PROCESSED));
        if (isProvenNotProcessed) {
            return AttemptOutcome.REJECTED;
        }
        return mayHaveRun() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
    }

    private void onSuccessHead(HttpResponse response) {
        if (!mayHaveRun()) {
            finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
            return;
        }
        head = response;
        contentLength = HttpUtil.getContentLength(response, -1L);
        boolean endsWithConnection = contentLength < 0 && !HttpUtil.isTransferEncodingChunked(response);
        // A response longer than any may be never ends. One that ends with its connection, which is to stay open,
        // can't be told from one that broke off.
        if (contentLength > BufferedBody.MAX_BYTES || (endsWithConnection && HttpUtil.isKeepAlive(response))) {
            onConnectionLost();
            return;
        }
        headAt = driver.now();
        if (contentLength > BufferedBody.MAX_BUFFERED_BYTES) {
            startStream();
        }
    }

    @Override
    public void onResponseContent(HttpContent part) {
        ByteBuf content = part.content();
        receivedBytes += content.readableBytes();
        if (receivedBytes > BufferedBody.MAX_BYTES) {
            onConnectionLost(); // longer than any response may be
        } else if (state == State.STREAMING) {
            forward(content.retain());
        } else if (content.isReadable()) {
            buffer(content);
        }
    }

    private void buffer(ByteBuf content) {
        if (body == null) {
            body = driver.newBody(contentLength, false);
        }
        body.append(content);
        if (isTooLongToBuffer()) {
            startStream();
        } else if (driver.bodyMemory().isExhausted(body.size())) {
            connection().pauseReading();
            driver.bodyMemory().awaitCapacity(memoryWaiter);
        }
    }

    private boolean isTooLongToBuffer() {
        if (body.size() > BufferedBody.MAX_BUFFERED_BYTES) {
            return true;
        }
        return contentLength < 0
                && (body.size() > MAX_UNKNOWN_LENGTH_BYTES || driver.now() - headAt > MAX_UNKNOWN_LENGTH_MILLIS);
    }

    private void resumeReading() {
        if (isOpen() && connection() != null) {
            connection().resumeReading();
        }
    }

    @Override
    public void onResponseEnd() {
        if (state == State.STREAMING) {
            driver.upstreams().release(this);
            exchange.onStreamEnded(true);
            return;
        }
        BufferedBody complete = body;
        body = null;
        exchange.onResponse(head, complete);
        finish(AttemptOutcome.OK);
    }

    @Override
    public void onConnectionLost() {
        if (state == State.STREAMING) {
            driver.log().info(() -> describe(AttemptOutcome.RESET));
            driver.upstreams().release(this);
            exchange.onStreamEnded(false);
            return;
        }
        finish(AttemptOutcome.RESET);
    }

    @Override
    public void onHandlerFailed() {
        exchange.onHandlerFailed();
    }

    // --- a response that is forwarded as it comes

    /**
     * Makes this response the request's and forwards it from here on. The balancer learns that the host has responded;
     * a client that reads slowly is no queue of the host's.
     */
    private void startStream() {
        if (!exchange.beginStream(this, head, contentLength)) {
            finish(AttemptOutcome.OK); // the request has another response
            return;
        }
        state = State.STREAMING;
        stopWaiting();
        try {
            forwardBuffered();
        } finally {
            releaseBody();
            exchange.onAttemptEnded(this, AttemptOutcome.OK, elapsedMillis(), loadReport);
        }
    }

    private void forwardBuffered() {
        if (body != null) {
            for (ByteBuf block : body.retainedBlocks()) {
                forward(block);
            }
        }
    }

    private void forward(ByteBuf content) {
        if (!exchange.forward(content)) {
            connection().pauseReading();
        }
    }

    /** The client takes more. */
    void resumeStream() {
        connection().resumeReading();
    }

    /** The client has left in the middle of the response. */
    void abandonStream() {
        driver.upstreams().release(this);
    }

    // --- the outcome

    private void finish(AttemptOutcome outcome) {
        if (!isOpen()) {
            return;
        }
        state = State.ENDED;
        try {
            stopWaiting();
            releaseBody();
            logFailure(outcome);
            driver.upstreams().release(this);
        } finally {
            exchange.onAttemptEnded(this, outcome, elapsedMillis(), loadReport); // the request ends after its attempts
        }
    }

    private void stopWaiting() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (writeDeadline != null) {
            writeDeadline.cancel(false);
        }
        driver.bodyMemory().cancelWait(memoryWaiter);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void logFailure(AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED) {
            driver.log().info(() -> describe(outcome));
        }
    }

    private double elapsedMillis() {
        return driver.now() - sentAt;
    }

    private String describe(AttemptOutcome outcome) {
        String received = "nothing";
        if (head != null) {
            received = receivedBytes + "/" + contentLength;
        } else if (connection() == null) {
            received = "no_connection";
        }
        return "attempt: failed, host=" + host().name() + " outcome=" + outcome + " elapsed_ms="
                + Math.round(elapsedMillis()) + " received=" + received;
    }
}
