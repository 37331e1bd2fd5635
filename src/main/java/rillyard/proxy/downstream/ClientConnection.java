package rillyard.proxy.downstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * Channel handler of one client connection: passes what is read to its {@link RequestReader}, follows the request at
 * hand to its response, and closes the connection.
 *
 * <p>Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements DescriptorBudget.IdleConnection {
    /** How the connection goes on; later states are final. */
    private enum State {
        /** Another request may follow. */
        OPEN,
        /** The next response is the last one. */
        CLOSE_AFTER_RESPONSE,
        /** No request is read any more, and what comes is discarded. */
        DISCARDING_INPUT
    }

    private static final int REQUEST_TIMEOUT = 408;
    private static final int BAD_GATEWAY = 502;

    private final ClientListener listener;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final ResponseWriter writer;
    private final RequestReader reader;
    private final RequestBodyReceiver body;
    private final ConnectionTimeouts timeouts;
    private State state = State.OPEN;
    private RequestExchange exchange;
    private boolean used;
    private boolean awaitsResponse;

    /**
     * Creates the handler of an accepted channel.
     *
     * @param decoder decoder of the channel's pipeline, with the same {@code pipelineBuffer}
     * @param overflow marks a connection beyond what is allowed, whose request is rejected
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
        this.writer = new ResponseWriter(this, channel);
        this.reader = new RequestReader(this, listener, channel, decoder, pipelineBuffer, writer, overflow);
        this.body = reader.body();
        this.timeouts = new ConnectionTimeouts(channel, decoder, body, writer);
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
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        reader.read((HttpObject) msg);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (writer.updateWritability() && exchange != null) {
            exchange.onClientWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            channel.close();
        } else {
            onHandlerFailed(cause);
        }
    }

    /** A handler has thrown: answers the request at hand, unless part of a response is written, and ends the connection. */
    private void onHandlerFailed(Throwable cause) {
        listener.log().error("client: connection failed", cause);
        closeAfterResponse();
        try {
            if (!answerFailure()) {
                channel.close();
            }
        } catch (RuntimeException | Error e) {
            listener.log().error("client: failure without a response", e);
            channel.close();
        }
    }

    /** Answers a request whose handling has failed; returns whether the connection lingers for its response. */
    private boolean answerFailure() {
        if (exchange != null) {
            exchange.onHandlerFailed();
            return exchange == null;
        }
        if (awaitsResponse || (!isDiscardingInput() && decoder.isReceiving())) {
            reject(BAD_GATEWAY); // also in place of a rejection whose write has thrown
            return true;
        }
        return false;
    }

    // --- the request at hand

    /** The head of a request has come. */
    void onRequestStarted(boolean isKeepAlive) {
        listener.descriptors().setClientIdle(this, false);
        used = true;
        awaitsResponse = true;
        state = isKeepAlive ? State.OPEN : State.CLOSE_AFTER_RESPONSE;
    }

    /** The request is being executed from now on, until its response is written. */
    void startExchange(RequestExchange newExchange) {
        exchange = newExchange;
    }

    boolean hasExchange() {
        return exchange != null;
    }

    /** Returns the exchange of the request at hand, null if none is being executed. */
    RequestExchange exchange() {
        return exchange;
    }

    /** All has come of a request whose response was written before. */
    void onRequestSkipped() {
        if (state != State.OPEN) {
            lingeringClose();
        } else if (!decoder.isReceiving()) {
            becomeIdle();
        }
    }

    /** What comes of a request whose response was written before can't be read: the connection ends without another. */
    void onMalformedRest() {
        body.completeSkipping();
        lingeringClose();
    }

    /** Returns whether the proxy would serve requests. */
    boolean isProxyReady() {
        return listener.isReady();
    }

    // --- its response

    /** Returns whether the connection ends with the response that is about to be written. */
    boolean isLastResponse() {
        if (listener.isDraining()) {
            closeAfterResponse();
        }
        return state != State.OPEN;
    }

    /** The end of a response has been passed to the channel; {@code written} completes when it is sent. */
    void onResponseWritten(ChannelFuture written) {
        exchange = null;
        awaitsResponse = false;
        if (isRefused(written)) {
            onHandlerFailed(written.cause());
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
        decoder.clearReceiveTimer(); // what came meanwhile had to wait, by no fault of its client's
        readNext();
    }

    /** Returns whether a write has failed already, and not because of the socket. */
    static boolean isRefused(ChannelFuture written) {
        return written.cause() != null && !(written.cause() instanceof IOException);
    }

    /** Goes on with what has come behind a request. A failure there is none of the request before. */
    private void readNext() {
        try {
            if (!reader.readPipelined() && !decoder.isReceiving() && !body.isSkipping()) {
                becomeIdle();
            }
        } catch (RuntimeException | Error e) {
            onHandlerFailed(e);
        }
    }

    /** The response broke off: the client has to see that it is not complete. */
    void onResponseAborted() {
        exchange = null;
        awaitsResponse = false;
        channel.close();
    }

    /** Reads on, as the host takes more of the body that is forwarded. */
    void resumeUpload() {
        body.resumeUpload();
    }

    // --- closing

    /** Answers what can't be served as a request and ends the connection. */
    void reject(int status) {
        state = State.DISCARDING_INPUT;
        awaitsResponse = true;
        RequestExchange abandoned = exchange;
        exchange = null;
        decoder.discardInput();
        body.abort();
        if (abandoned != null) { // its body goes wrong while it is forwarded: no host gets the end of it
            abandoned.onClientDisconnected();
        }
        writer.sendStatus(status, 0);
        channel.config().setAutoRead(true);
    }

    /** Has the next response be the last one. */
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

    /** Ends the connection unless a request has just come. */
    void endIdle() {
        if (!hasInputOrEnd()) {
            lingeringClose();
        }
    }

    /** Returns whether input has come that is not read yet, or the client has closed the connection. */
    private boolean hasInputOrEnd() {
        if (channel.isEndOfStream()) {
            channel.close();
            return true;
        }
        decoder.checkHeldByte();
        return channel.hasPeekedByte();
    }

    // --- idle and busy

    private void becomeIdle() {
        timeouts.onIdle();
        listener.descriptors().setClientIdle(this, true);
    }

    /** Returns whether a request, part of one, or a response that is not written yet is under way. */
    boolean isBusy() {
        return exchange != null
                || body.isSkipping()
                || decoder.isReceiving()
                || writer.isWriting()
                || state != State.OPEN;
    }

    @Override
    public boolean wasUsed() {
        return used;
    }

    /** Ends what has taken too long by {@code nowNanos}. */
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
            case IDLE -> endIdle();
            default -> {}
        }
    }
}
