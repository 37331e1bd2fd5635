package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.dispatch.StreamingUpload;
import rillyard.proxy.eventloop.GuardedTimer;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.ReceivedHeaders;

/**
 * Assembles the requests of one client connection from parsed parts, one at a time, and dispatches them.
 *
 * <p>Pipelined requests wait in the {@link PipelineReader}.
 */
final class RequestReader {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final long INPUT_CHECK_NANOS = 10_000_000L;

    /** Number of checks whether all input has been read, after which a request is rejected whose client may have left. */
    private static final int MAX_INPUT_CHECKS = 10;

    private final ClientConnection connection;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final PipelineReader pipeline;
    private final ResponseWriter writer;
    private final RequestValidator validator;
    private final RequestDispatcher dispatcher;
    private final RequestBodyReceiver body;
    private final BodyMemoryBudget memory;
    private final boolean overflow;

    /**
     * Creates the reader of a connection.
     *
     * @param overflow whether the connection exceeds the limit, so that its requests are rejected
     */
    RequestReader(
            ClientConnection connection,
            ClientListener listener,
            PeekableSocketChannel channel,
            ClientRequestDecoder decoder,
            PipelineBuffer pipelineBuffer,
            ResponseWriter writer,
            boolean overflow) {
        this.connection = connection;
        this.channel = channel;
        this.decoder = decoder;
        this.pipeline = new PipelineReader(connection, this, channel, decoder, pipelineBuffer);
        this.writer = writer;
        this.validator = listener.validator();
        this.dispatcher = listener.dispatcher();
        this.memory = listener.bodyMemory();
        this.overflow = overflow;
        this.body = new RequestBodyReceiver(this, channel, decoder, listener);
    }

    /** Returns the receiver of the current request's body. */
    RequestBodyReceiver body() {
        return body;
    }

    /** Handles or holds a parsed part; the reader takes over its reference. */
    void read(HttpObject part) {
        if (pipeline.mustHold(part)) {
            pipeline.hold(part);
        } else {
            handleAndRelease(part);
        }
    }

    /** Returns the held input of the connection. */
    PipelineReader pipeline() {
        return pipeline;
    }

    /** Passes on what has been gathered of a forwarded body, as there is no more input for now. */
    void onReadComplete() {
        body.flushUpload();
    }

    /** Acts on the timeout of the connection that has expired by {@code nowNanos}, if any. */
    void enforceTimeouts(long nowNanos) {
        connection.enforceTimeouts(nowNanos);
    }

    /** Releases the memory that is held for a connection that is closed. */
    void close() {
        body.abort();
        pipeline.close();
    }

    /** Handles a part and releases its reference. */
    void handleAndRelease(HttpObject part) {
        try {
            handle(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void handle(HttpObject part) {
        if (connection.isDiscardingInput()) {
            return;
        }
        if (part.decoderResult().isFailure() && body.isSkipping()) {
            connection.onMalformedSkippedBody();
            return;
        }
        if (part.decoderResult().isFailure()) {
            connection.reject(RequestValidator.statusOf(part.decoderResult().cause()));
            return;
        }
        if (!body.isSkipping()) {
            if (part instanceof HttpRequest request) {
                startRequest(request);
            }
            if (part instanceof HttpContent content) {
                append(content.content());
            }
        }
        if (part instanceof LastHttpContent && !connection.isDiscardingInput()) {
            onLastContent();
        }
    }

    private void startRequest(HttpRequest request) {
        connection.onRequestStarted(HttpUtil.isKeepAlive(request));
        body.start(request);
        ValidationResult result = validator.validate(request);
        if (result instanceof ValidationResult.Rejected rejected) {
            connection.reject(rejected.status());
            return;
        }
        if (result instanceof ValidationResult.Accepted accepted) {
            body.onAccepted(accepted);
        } else {
            body.onHealthCheck();
        }
        if (!ReceivedHeaders.beginProgress(request.headers())) {
            dispatcher.logRejectedForHeaderMemory();
            rejectUnsent();
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            writer.writeContinue();
        }
    }

    private void append(ByteBuf bytes) {
        if (connection.isDiscardingInput() || !bytes.isReadable()) {
            return;
        }
        switch (body.append(bytes)) {
            case TOO_LARGE -> connection.reject(CONTENT_TOO_LARGE);
            case UPLOAD -> startUpload();
            case MEMORY_DEADLOCK -> rejectForMemory();
            default -> {}
        }
    }

    private void onLastContent() {
        if (body.isSkipping()) {
            body.completeSkipping();
            connection.onRequestSkipped();
        } else if (body.isUploading()) {
            body.completeUpload();
            double waitedMillis = body.waitedMillis();
            channel.onMessageComplete();
            connection.exchange().onUploadComplete(waitedMillis);
        } else {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        HttpRequest head = body.head();
        BufferedBody content = body.complete();
        if (body.isHealthCheck()) {
            release(head, content);
            writer.sendStatus(connection.isProxyReady() ? OK : SERVICE_UNAVAILABLE, 0);
        } else if (hasCapacity()) {
            dispatch(head, content);
        } else {
            onRejectedForCapacity();
            dispatcher.countRejected(body.requestClass());
            release(head, content);
            writer.sendStatus(SERVICE_UNAVAILABLE, 0);
        }
    }

    private void dispatch(HttpRequest head, BufferedBody content) {
        // The last byte may have waited to be read: that time counts against the client's timeout.
        double remainingMillis = Math.max(0, body.timeoutMillis() - body.waitedMillis());
        channel.onMessageComplete();
        if (dispatcher.isDuplicate(head)) {
            release(head, content);
            connection.reject(CONFLICT);
            return;
        }
        RequestExchange exchange = newExchange(head, content, remainingMillis);
        connection.startExchange(exchange);
        if (channel.isEndOfStream()) {
            // The client disconnected while the event loop was behind. An attempt would be cancelled at once, which
            // costs its connection and delays the event loop further.
            exchange.discard();
            channel.close();
            return;
        }
        decoder.checkPeekedByte();
        channel.resumeReading(); // held input may have been handled since a pause
        if (connection.isClientPresent()) {
            exchange.dispatch();
        } else {
            awaitInputRead(exchange, MAX_INPUT_CHECKS);
        }
    }

    /** Dispatches the request once the input behind it has been read, as its client may have left. */
    private void awaitInputRead(RequestExchange exchange, int checks) {
        if (connection.exchange() != exchange) {
            return; // its client has left, or it was answered
        }
        if (dispatcher.isDuplicate(exchange)) { // of one that was dispatched meanwhile
            connection.reject(CONFLICT);
        } else if (connection.isClientPresent()) {
            exchange.dispatch();
        } else if (checks == 0) {
            exchange.endForUnreadInput();
        } else {
            GuardedTimer.schedule(
                    channel.eventLoop(),
                    INPUT_CHECK_NANOS,
                    () -> awaitInputRead(exchange, checks - 1),
                    channel.pipeline()::fireExceptionCaught);
        }
    }

    private RequestExchange newExchange(HttpRequest head, BufferedBody content, double remainingMillis) {
        try {
            return dispatcher.newExchange(head, body.requestClass(), content, remainingMillis, writer);
        } catch (RuntimeException | Error e) {
            release(head, content);
            throw e;
        }
    }

    /** Dispatches a request whose body is too long to be buffered; the rest of the body is forwarded as it arrives. */
    private void startUpload() {
        HttpRequest head = body.head();
        BufferedBody start = body.detach();
        if (dispatcher.isDuplicate(head)) {
            release(head, start);
            connection.reject(CONFLICT);
            return;
        }
        StreamingUpload upload = new StreamingUpload(start, HttpUtil.getContentLength(head, -1L), memory);
        body.startUpload(upload);
        boolean hasCapacity = hasCapacity();
        RequestExchange exchange =
                dispatcher.newUploadExchange(head, body.requestClass(), upload, body.timeoutMillis(), writer);
        connection.startExchange(exchange);
        if (!hasCapacity) {
            onRejectedForCapacity();
            exchange.reject(0);
        } else if (connection.isClientPresent()) {
            exchange.dispatch();
        } else {
            awaitInputRead(exchange, MAX_INPUT_CHECKS);
        }
    }

    private boolean hasCapacity() {
        return !overflow && dispatcher.hasCapacity();
    }

    private void onRejectedForCapacity() {
        dispatcher.logRejectedForCapacity();
        if (overflow) {
            connection.closeAfterResponse();
        }
    }

    /**
     * Rejects a request for whose body there is no memory. The client may have sent all of it, and wait for the
     * response. No host has seen the request, so a retry is harmless.
     */
    void rejectForMemory() {
        dispatcher.logRejectedForMemory();
        rejectUnsent();
    }

    /** Rejects a request that follows those that were held, and whose rest has been discarded. */
    void rejectDiscarded() {
        dispatcher.logRejectedForPipelining();
        connection.reject(SERVICE_UNAVAILABLE);
    }

    /** Rejects the current request, of which no host has seen anything. */
    private void rejectUnsent() {
        if (!body.isHealthCheck()) { // a health check has no request class
            dispatcher.countRejected(body.requestClass());
        }
        connection.reject(SERVICE_UNAVAILABLE);
    }

    /** Ends the reception of incomplete and pipelined requests, as their header sections use too much memory. */
    void endReception() {
        dispatcher.logRejectedForHeaderMemory();
        if (connection.hasExchange()) {
            connection.closeAfterResponse();
            decoder.discardInput();
            pipeline.close();
        } else {
            connection.reject(SERVICE_UNAVAILABLE);
        }
    }

    private static void release(HttpRequest head, BufferedBody content) {
        ReceivedHeaders.release(head.headers());
        if (content != null) {
            content.release();
        }
    }
}
