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
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.BufferedBody;

/**
 * Assembles the requests of one client connection from parsed parts, one at a time, and dispatches them.
 *
 * <p>Requests that are sent ahead of a response wait in the {@link PipelineBuffer}.
 */
final class RequestReader {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ClientConnection connection;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final PipelineBuffer pipelineBuffer;
    private final ResponseWriter writer;
    private final RequestValidator validator;
    private final RequestDispatcher dispatcher;
    private final RequestBodyReceiver body;
    private final boolean overflow;

    /** Creates the reader of a connection; {@code overflow} marks one beyond those allowed, which is not served. */
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
        this.pipelineBuffer = pipelineBuffer;
        this.writer = writer;
        this.validator = listener.validator();
        this.dispatcher = listener.dispatcher();
        this.overflow = overflow;
        this.body = new RequestBodyReceiver(this, channel, decoder, listener);
    }

    /** Returns the state of the body at hand. */
    RequestBodyReceiver body() {
        return body;
    }

    /** Takes a parsed part, of which the reader takes over the reference. */
    void read(HttpObject part) {
        if (connection.hasExchange() && !body.isUploading() && !connection.isDiscardingInput()) {
            // What follows a pipelined request is read all the same, as the end of the connection lies behind it,
            // after which no request may be started for this client.
            pipelineBuffer.addPart(part);
            decoder.holdInput();
        } else {
            handleAndRelease(part);
        }
    }

    /** Goes on with what was sent ahead of a response, now that it is written; returns false if there is nothing. */
    boolean readPipelined() {
        if (!pipelineBuffer.hasParts() && !pipelineBuffer.isHoldingBytes()) {
            return false;
        }
        while (!connection.hasExchange() && pipelineBuffer.hasParts()) {
            handleAndRelease(pipelineBuffer.pollPart());
        }
        if (!connection.hasExchange() && pipelineBuffer.isHoldingBytes()) {
            // Not at once: the decoder may be at work, and can't be entered again.
            channel.eventLoop().execute(this::releaseHeldInput);
        }
        return true;
    }

    private void releaseHeldInput() {
        if (mayParseHeldInput() && !body.isAwaitingMemory() && !body.isUploading()) {
            channel.config().setAutoRead(true);
        }
        while (mayParseHeldInput() && pipelineBuffer.isHoldingBytes()) {
            decoder.releaseHeldInput();
        }
    }

    /** Returns whether the next held bytes have their turn: no request is at hand, or it is the one they belong to. */
    private boolean mayParseHeldInput() {
        return body.isUploading() || (!connection.hasExchange() && !pipelineBuffer.hasParts());
    }

    /** Frees what is held for a connection that is closed. */
    void close() {
        body.abort();
        pipelineBuffer.releaseParts();
    }

    private void handleAndRelease(HttpObject part) {
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
            connection.onMalformedRest();
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
            connection.exchange().onUploadComplete(body.waitedMillis());
        } else {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        HttpRequest head = body.head();
        BufferedBody content = body.complete();
        if (body.isHealthCheck()) {
            release(content);
            writer.sendStatus(connection.isProxyReady() ? OK : SERVICE_UNAVAILABLE, 0);
        } else if (hasCapacity()) {
            dispatch(head, content);
        } else {
            onRejectedForCapacity();
            dispatcher.countRejected(body.requestClass());
            release(content);
            writer.sendStatus(SERVICE_UNAVAILABLE, 0);
        }
    }

    private void dispatch(HttpRequest head, BufferedBody content) {
        // Time in the proxy's own queue comes off the client's: the last byte may have waited there.
        double remainingMillis = Math.max(0, body.timeoutMillis() - body.waitedMillis());
        if (dispatcher.isDuplicate(head)) {
            release(content);
            connection.reject(CONFLICT);
            return;
        }
        RequestExchange exchange = newExchange(head, content, remainingMillis);
        connection.startExchange(exchange);
        if (channel.isEndOfStream()) {
            // The client left while the loop was behind. An attempt would be cancelled at once, which costs its
            // connection and has the loop fall further behind.
            exchange.discard();
            channel.close();
            return;
        }
        decoder.checkHeldByte();
        exchange.dispatch();
    }

    private RequestExchange newExchange(HttpRequest head, BufferedBody content, double remainingMillis) {
        try {
            return dispatcher.newExchange(head, body.requestClass(), content, remainingMillis, writer);
        } catch (RuntimeException | Error e) {
            release(content);
            throw e;
        }
    }

    /** Dispatches a request whose body is longer than may be buffered; the rest of the body follows it. */
    private void startUpload() {
        HttpRequest head = body.head();
        BufferedBody start = body.detach();
        if (dispatcher.isDuplicate(head)) {
            start.release();
            connection.reject(CONFLICT);
            return;
        }
        channel.config().setAutoRead(false);
        StreamingUpload upload = new StreamingUpload(start, HttpUtil.getContentLength(head, -1L));
        body.startUpload(upload);
        boolean hasCapacity = hasCapacity();
        RequestExchange exchange =
                dispatcher.newUploadExchange(head, body.requestClass(), upload, body.timeoutMillis(), writer);
        connection.startExchange(exchange);
        if (hasCapacity) {
            exchange.dispatch();
        } else {
            onRejectedForCapacity();
            exchange.reject(0);
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
     * Rejects a request that found no memory: what is not read may be complete in its socket, with a client that waits
     * for the response. No host has seen it, so a retry is harmless.
     */
    void rejectForMemory() {
        dispatcher.logRejectedForMemory();
        if (!body.isHealthCheck()) { // which has no class
            dispatcher.countRejected(body.requestClass());
        }
        connection.reject(SERVICE_UNAVAILABLE);
    }

    private static void release(BufferedBody content) {
        if (content != null) {
            content.release();
        }
    }
}
