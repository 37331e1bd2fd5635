package rillyard.proxy.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reads the responses of one connection: skips interim ones, delivers the final one to the connection, and discards the
 * rest of a response that is no longer needed.
 */
final class ResponseReader {
    private enum State {
        /** No response is expected; bytes that arrive belong to no request. */
        NOT_EXPECTED,
        /** The head of the final response has not been read. */
        AWAITING_HEAD,
        /** An interim (1xx) response is being read. */
        READING_INTERIM_RESPONSE,
        /** The body of the final response is being read. */
        READING_BODY,
        /** The call is over; the rest of its response is discarded so that the connection can be reused. */
        DISCARDING
    }

    /** Bytes of a response that are discarded before the connection is closed instead. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private final UpstreamConnection connection;
    private final UpstreamResponseDecoder decoder;
    private State state = State.NOT_EXPECTED;
    private int discardedBytes;

    ResponseReader(UpstreamConnection connection, UpstreamResponseDecoder decoder) {
        this.connection = connection;
        this.decoder = decoder;
    }

    /** Starts to expect the response to a request that is about to be written. */
    void onRequestStarted() {
        state = State.AWAITING_HEAD;
        decoder.onRequestStarted();
    }

    /** Discards the rest of the current response. */
    void discardRest() {
        state = State.DISCARDING;
        discardedBytes = 0;
    }

    /** Stops expecting a response. */
    void stop() {
        state = State.NOT_EXPECTED;
    }

    /** Reads a part of a response, which the caller releases. */
    void read(HttpObject part) {
        if (state == State.NOT_EXPECTED) {
            // Surplus bytes after one response would otherwise be taken for the response to the next request.
            connection.channel().close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            connection.onMalformedResponse(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpResponse head) {
            readHead(head);
        }
        // A response without a length ends with its connection: its last part arrives on a closed channel.
        if (part instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            state = State.READING_BODY;
            connection.onResponseHead(head);
        } else if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            connection.fail(); // no request asks for another protocol
        } else {
            state = State.READING_INTERIM_RESPONSE;
        }
    }

    private void readContent(HttpContent part) {
        boolean isLast = part instanceof LastHttpContent;
        switch (state) {
            case READING_INTERIM_RESPONSE -> {
                if (isLast) {
                    state = State.AWAITING_HEAD;
                    decoder.onInterimResponseEnd();
                }
            }
            case READING_BODY -> connection.onResponseContent(part, isLast);
            case DISCARDING -> discard(part, isLast);
            default -> connection.channel().close(); // the call ended with the head of this response
        }
    }

    private void discard(HttpContent part, boolean isLast) {
        discardedBytes += part.content().readableBytes();
        if (isLast) {
            connection.onResponseEnd();
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            connection.channel().close();
        }
    }
}
