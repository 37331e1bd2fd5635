package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import rillyard.proxy.upstream.UpstreamPool;

/**
 * Forwards the response of a host to the client while it is received, as fast as the client reads it.
 *
 * <p>For the balancer the attempt ended when forwarding began, so that a response that its client reads slowly does not
 * count as in flight at the host.
 */
final class ForwardedResponse {
    /** Longest time (ns) for which a host may pause within the response. */
    static final long STALL_NANOS = 10_000_000_000L;

    private final UpstreamAttempt attempt;
    private final RequestExchange exchange;
    private final UpstreamPool upstreams;

    ForwardedResponse(UpstreamAttempt attempt, RequestExchange exchange, UpstreamPool upstreams) {
        this.attempt = attempt;
        this.exchange = exchange;
        this.upstreams = upstreams;
    }

    /** Returns the attempt whose response is forwarded. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    /** Forwards a part of the body; takes over the caller's reference. */
    void forward(ByteBuf content) {
        if (!exchange.response().forward(content)) {
            attempt.connection().pauseReading();
        }
    }

    /** Sends the parts that may have been kept to be sent together, as there are no more for now. */
    void flush() {
        exchange.response().flush();
    }

    /** Resumes reading from the host, as the client accepts more. */
    void resume() {
        attempt.connection().resumeReading();
    }

    /** Ends the response, which is complete or was truncated. */
    void end(boolean complete) {
        upstreams.release(attempt);
        exchange.onStreamEnded(complete);
    }

    /** Gives up the response, as the client has left. */
    void abandon() {
        upstreams.release(attempt);
    }
}
