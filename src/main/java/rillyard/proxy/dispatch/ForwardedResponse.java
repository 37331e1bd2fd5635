package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import rillyard.proxy.upstream.UpstreamPool;

/**
 * Forwards the response of a host to the client as it comes, as fast as the client takes it.
 *
 * <p>The attempt has ended for the balancer: a client that reads slowly is no queue of the host's.
 */
final class ForwardedResponse {
    /** How long (ns) a host may pause within the response. */
    static final long STALL_NANOS = 10_000_000_000L;

    private final UpstreamAttempt attempt;
    private final RequestExchange exchange;
    private final UpstreamPool upstreams;

    ForwardedResponse(UpstreamAttempt attempt, RequestExchange exchange, UpstreamPool upstreams) {
        this.attempt = attempt;
        this.exchange = exchange;
        this.upstreams = upstreams;
    }

    /** Returns the attempt whose response it is. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    /** Forwards a part of the body, of which it takes over the reference. */
    void forward(ByteBuf content) {
        if (!exchange.response().forward(content)) {
            attempt.connection().pauseReading();
        }
    }

    /** The client takes more. */
    void resume() {
        attempt.connection().resumeReading();
    }

    /** The host has sent the last byte, or the response has broken off. */
    void end(boolean complete) {
        upstreams.release(attempt);
        exchange.onStreamEnded(complete);
    }

    /** The client has left in the middle of the response. */
    void abandon() {
        upstreams.release(attempt);
    }
}
