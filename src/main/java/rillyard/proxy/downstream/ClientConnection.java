package rillyard.proxy.downstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * Channel handler of one client connection: passes parsed input to its {@link RequestReader}, tracks the current
 * request until its response is written, and closes the connection.
 *
 * <p>Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements DescriptorBudget.IdleConnection {
    /** How the connection continues; {@link #DISCARDING_INPUT} is final. */
    private enum State {
        /** Another request may follow. */
        OPEN,
        /** The next response is the last one. */
        CLOSE_AFTER_RESPONSE,
        /** No further request is read, and all input is discarded. */
        DISCARDING_INPUT
    }

    private static final int REQUEST_TIMEOUT = 408;

    /** Time for which input may be unread; no attempt may begin 100 ms after the close of the client. */
    private static final long MAX_UNREAD_NANOS = 80_000_000L;

    private final ClientListener listener;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final ResponseWriter writer;
    private final RequestReader reader;
    private final RequestBodyReceiver body;
    private final ConnectionTimeouts timeouts;
    private final ClientFailureHandler failures;
    private State state = State.OPEN;
    private RequestExchange exchange;
    private boolean used;
    private boolean awaitsResponse;

    /**
     * Creates the handler of an accepted channel.
     *
     * @param decoder decoder of the channel's pipeline, with the same {@code pipelineBuffer}
     * @param overflow whether the connection exceeds the limit, so that its requests are rejected
     */
    ClientConnection(
            ClientListener listener,
            PeekableSocketChannel channel,
            ClientRequestDecoder decoder,
            PipelineBuffer pipelineBuffer,
            boolean overflow) {
        this.listener = listener;
        this.channel = channel;
        this.decoder = decoder;
        this.writer = new ResponseWriter(this, channel, listener.bodyMemory());
        this.reader = new RequestReader(this, listener, channel, decoder, pipelineBuffer, writer, overflow);
        this.body = reader.body();
        this.timeouts = new ConnectionTimeouts(channel, decoder, body, writer);
        this.failures = new ClientFailureHandler(this, channel, decoder, listener.log());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        RequestExchange abandoned = exchange;
        exchange = null;
        reader.close();
        if (abandoned != null) {
            abandoned.onClientDisconnected();
        }
        writer.release();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        reader.read((HttpObject) msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        channel.recordReadComplete();
        reader.onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (!writer.updateWritability()) {
            return;
        }
        if (exchange != null) {
            exchange.onClientWritable();
        } else {
            reader.pipeline().onWritable();
        }
    }

    /** Resumes a forwarded response, of which the client has taken all that was written. */
    void onResponseTaken() {
        if (exchange != null && channel.isWritable()) {
            exchange.onClientWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failures.onException(cause);
    }

    // --- current request

    /** Records that the head of a request has been received. */
    void onRequestStarted(boolean isKeepAlive) {
        listener.descriptors().setClientIdle(this, false);
        used = true;
        awaitsResponse = true;
        state = isKeepAlive ? State.OPEN : State.CLOSE_AFTER_RESPONSE;
    }

    /** Sets the exchange that executes the current request from now on, until its response is written. */
    void startExchange(RequestExchange newExchange) {
        exchange = newExchange;
    }

    boolean hasExchange() {
        return exchange != null;
    }

    /** Returns the exchange of the current request, or null if none is being executed. */
    RequestExchange exchange() {
        return exchange;
    }

    /** Returns whether a request has been received whose response was not passed to the channel completely. */
    boolean awaitsResponse() {
        return awaitsResponse;
    }

    /** Handles the end of a request whose response was written before. */
    void onRequestSkipped() {
        if (state != State.OPEN) {
            lingeringClose();
        } else if (!decoder.isReceiving()) {
            becomeIdle();
        }
    }

    /** Closes the connection after a malformed rest of a request whose response was written before. */
    void onMalformedSkippedBody() {
        body.completeSkipping();
        lingeringClose();
    }

    /** Returns whether the proxy is ready to serve requests. */
    boolean isProxyReady() {
        return listener.isReady();
    }

    // --- response

    /** Returns whether the connection is closed after the response that is about to be written. */
    boolean isLastResponse() {
        if (listener.isDraining()) {
            closeAfterResponse();
        }
        return state != State.OPEN;
    }

    /** Handles the end of a response, which was passed to the channel; {@code written} completes when it is sent. */
    void onResponseWritten(ChannelFuture written) {
        exchange = null;
        awaitsResponse = false;
        if (ClientFailureHandler.hasFailedInHandler(written)) {
            failures.onHandlerFailed(written.cause());
            return;
        }
        if (body.isUploading() && !isDiscardingInput()) {
            body.skipUpload();
        }
        if (state != State.OPEN && !body.isSkipping()) {
            written.addListener(future -> lingeringClose());
            return;
        }
        writer.awaitWritten(written);
        decoder.clearReceiveTimer(); // input that arrived meanwhile was delayed by the proxy
        readNext();
    }

    /** Continues with the input behind a request. An exception there does not concern that request. */
    private void readNext() {
        try {
            if (!reader.pipeline().readNext()) {
                onInputReleased();
            }
        } catch (RuntimeException | Error e) {
            failures.onHandlerFailed(e);
        }
    }

    /** Handles the end of held input: without a request in progress the connection is idle. */
    void onInputReleased() {
        boolean isOpen = channel.isActive() && !isDiscardingInput();
        if (isOpen && exchange == null && !decoder.isReceiving() && !body.isSkipping()) {
            becomeIdle();
        }
    }

    /** Closes the connection after an incomplete response, so that the client notices that it is incomplete. */
    void onResponseAborted() {
        exchange = null;
        awaitsResponse = false;
        channel.close();
    }

    /** Resumes reading, because the host accepts more of the forwarded body. */
    void resumeUpload() {
        body.resumeUpload();
    }

    /** See {@link rillyard.proxy.dispatch.ResponseReceiver#isClientPresent}. */
    boolean isClientPresent() {
        return channel.isActive()
                && !(channel.hasUnreadInput() && System.nanoTime() - channel.sentSinceNanos() > MAX_UNREAD_NANOS);
    }

    // --- closing

    /** Sends an error status for input that can't be served, and closes the connection. */
    void reject(int status) {
        state = State.DISCARDING_INPUT;
        awaitsResponse = true;
        RequestExchange abandoned = exchange;
        exchange = null;
        decoder.discardInput();
        body.abort();
        if (abandoned != null) { // its body is invalid or late while it is forwarded: no host gets the end of it
            abandoned.onClientDisconnected();
        }
        writer.sendStatus(status, 0);
        channel.resumeReading();
    }

    /** Ends the reception of requests whose header sections use too much memory. */
    void endReception() {
        reader.endReception();
    }

    /** Makes the next response the last one. */
    void closeAfterResponse() {
        if (state == State.OPEN) {
            state = State.CLOSE_AFTER_RESPONSE;
        }
    }

    boolean isDiscardingInput() {
        return state == State.DISCARDING_INPUT;
    }

    private void lingeringClose() {
        state = State.DISCARDING_INPUT;
        decoder.discardInput();
        if (channel.isActive()) {
            listener.descriptors().setClientIdle(this, false);
            LingeringClose.start(channel);
        }
    }

    @Override
    public void closeIdle() {
        if (!hasInputOrEnd()) {
            state = State.DISCARDING_INPUT;
            decoder.discardInput();
            channel.shutdownOutputAndDrain();
        }
    }

    /** Closes the connection unless a request has just arrived. */
    void lingeringCloseIfIdle() {
        if (!hasInputOrEnd()) {
            lingeringClose();
        }
    }

    /** Returns whether unread input has arrived, or the client has closed the connection. */
    private boolean hasInputOrEnd() {
        if (channel.isEndOfStream()) {
            channel.close();
            return true;
        }
        decoder.checkPeekedByte();
        return channel.hasPeekedByte();
    }

    // --- idle and busy

    /** Records that there is no request; a connection whose response is being written becomes idle at its end. */
    private void becomeIdle() {
        if (!writer.isWriting()) {
            timeouts.onIdle();
            listener.descriptors().setClientIdle(this, true);
        }
    }

    /** Handles the end of the write of a response, behind which no other is being written. */
    void onWritingEnded() {
        if (channel.isActive() && !isBusy()) {
            becomeIdle();
        }
    }

    /** Returns whether a request is being received or executed, or its response is not written yet. */
    boolean isBusy() {
        return exchange != null
                || reader.pipeline().hasInput()
                || body.isSkipping()
                || decoder.isReceiving()
                || writer.isWriting()
                || state != State.OPEN;
    }

    @Override
    public boolean wasUsed() {
        return used;
    }

    /** Acts on the timeout that has expired by {@code nowNanos}, if any. */
    void enforceTimeouts(long nowNanos) {
        switch (timeouts.check(nowNanos, this)) {
            case HOST_STALLED -> exchange.onHostStalled();
            case SLOW_REQUEST -> {
                if (body.isSkipping()) {
                    channel.close(); // its response is written
                } else {
                    reject(REQUEST_TIMEOUT);
                }
            }
            case CLIENT_STALLED -> channel.close();
            case IDLE -> lingeringCloseIfIdle();
            default -> {}
        }
    }
}
