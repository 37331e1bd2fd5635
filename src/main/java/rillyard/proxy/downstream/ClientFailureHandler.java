package rillyard.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.logging.ProxyLog;

/** Ends a client connection, and answers its request where possible, after an exception. Confined to the event loop. */
final class ClientFailureHandler {
    private static final int BAD_GATEWAY = 502;

    private final ClientConnection connection;
    private final Channel channel;
    private final ClientRequestDecoder decoder;
    private final ProxyLog log;

    ClientFailureHandler(ClientConnection connection, Channel channel, ClientRequestDecoder decoder, ProxyLog log) {
        this.connection = connection;
        this.channel = channel;
        this.decoder = decoder;
        this.log = log;
    }

    /** Returns whether a write has already failed, and in a handler rather than by an I/O error of the socket. */
    static boolean hasFailedInHandler(ChannelFuture written) {
        return written.cause() != null && !(written.cause() instanceof IOException);
    }

    /** Handles an exception of the channel: an I/O error of the socket closes it. */
    void onException(Throwable cause) {
        if (cause instanceof IOException) {
            channel.close();
        } else {
            onHandlerFailed(cause);
        }
    }

    /**
     * Handles an exception of a handler: fails the current request, unless part of its response is written, and closes
     * the connection.
     */
    void onHandlerFailed(Throwable cause) {
        log.error("client: connection failed", cause);
        connection.closeAfterResponse();
        try {
            if (!answerFailure()) {
                channel.close();
            }
        } catch (RuntimeException | Error e) {
            log.error("client: error response not sent", e);
            channel.close();
        }
    }

    /** Answers a request whose handling has failed; returns false if the connection must be closed at once. */
    private boolean answerFailure() {
        RequestExchange exchange = connection.exchange();
        if (exchange != null) {
            exchange.onHandlerFailed();
            return !connection.hasExchange();
        }
        if (connection.awaitsResponse() || (!connection.isDiscardingInput() && decoder.isReceiving())) {
            connection.reject(BAD_GATEWAY); // also in place of a rejection whose write has thrown
            return true;
        }
        return false;
    }
}
