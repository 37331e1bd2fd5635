package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.proxy.resources.BufferedBody;

/**
 * The one response of a request: sends the first that is offered, counts it, and refuses every other.
 *
 * <p>Each method that offers a response returns whether that response was taken.
 */
final class FinalResponse {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final OutcomeRecorder recorder;
    private final ResponseReceiver client;
    private final String requestClass;
    private boolean decided;
    /** Whether a complete response has been decided on that the receiver has not taken yet. */
    private boolean undelivered;

    private AttemptOutcome lastOutcome;
    private ForwardedResponse stream;

    FinalResponse(OutcomeRecorder recorder, ResponseReceiver client, String requestClass) {
        this.recorder = recorder;
        this.client = client;
        this.requestClass = requestClass;
        recorder.metrics().addPending(1);
    }

    /** Returns whether the response has been sent or begun, or nobody waits for it any more. */
    boolean isDecided() {
        return decided;
    }

    /** Returns whether it is decided and no part of it is to come. */
    boolean isComplete() {
        return decided && stream == null;
    }

    /** Returns whether this attempt's response is the one that is forwarded. */
    boolean isStreamOf(UpstreamAttempt attempt) {
        return stream != null && stream.attempt() == attempt;
    }

    boolean isStreaming() {
        return stream != null;
    }

    /** Notes the outcome of the latest attempt, which the trace names with a response of the proxy's own. */
    void setLastOutcome(AttemptOutcome outcome) {
        lastOutcome = outcome;
    }

    /** Offers a rejection; {@code retryAfterMillis} is 0 if not known. */
    boolean reject(double retryAfterMillis) {
        if (!decide(ProxyMetrics.RequestOutcome.REJECTED)) {
            return false;
        }
        client.sendStatus(SERVICE_UNAVAILABLE, retryAfterMillis);
        undelivered = false;
        return true;
    }

    /** Offers a failure with this HTTP status. */
    boolean fail(int status) {
        if (!decide(ProxyMetrics.RequestOutcome.FAILED)) {
            return false;
        }
        client.sendStatus(status, 0);
        undelivered = false;
        return true;
    }

    /** Offers a host's complete response; {@code body} may be null and is released in any case. */
    void complete(HttpResponse response, BufferedBody body) {
        if (decide(ProxyMetrics.RequestOutcome.COMPLETED)) {
            client.sendResponse(response, body);
            undelivered = false;
        } else if (body != null) {
            body.release();
        }
    }

    /** Ends the request without a response, as its client has left; returns false if it had one. */
    boolean discard() {
        if (decided) {
            return false;
        }
        decided = true;
        recorder.metrics().addPending(-1);
        return true;
    }

    /** Offers a response that is forwarded as it comes; {@code contentLength} is -1 if unknown. */
    boolean beginStream(ForwardedResponse offered, HttpResponse response, long contentLength) {
        if (decided) {
            return false;
        }
        decided = true;
        stream = offered;
        try {
            client.beginResponse(response, contentLength);
        } catch (RuntimeException | Error e) {
            stream = null; // nothing of it was written: the request may have another response
            decided = false;
            throw e;
        }
        return true;
    }

    /** Forwards part of it; returns whether the client takes more for now. */
    boolean forward(ByteBuf content) {
        return client.sendContent(content);
    }

    /** The client takes more. */
    void onClientWritable() {
        if (stream != null) {
            stream.resume();
        }
    }

    /** The forwarded response is complete, or has broken off. */
    void endStream(boolean complete) {
        stream = null;
        recorder.metrics().addPending(-1);
        recorder.metrics()
                .requestEnded(
                        requestClass,
                        complete ? ProxyMetrics.RequestOutcome.COMPLETED : ProxyMetrics.RequestOutcome.FAILED);
        if (complete) {
            client.endResponse();
        } else {
            client.abortResponse();
        }
    }

    /** The client has left in the middle of a forwarded response. */
    void abandonStream() {
        ForwardedResponse abandoned = stream;
        stream = null;
        recorder.metrics().addPending(-1);
        abandoned.abandon();
    }

    /**
     * Ends a response that was decided on and whose delivery has thrown: with a failure if nothing of it was written, else
     * with the client's connection.
     */
    void onDeliveryFailed() {
        if (stream != null) {
            stream.abandon();
            endStream(false);
        } else if (undelivered) {
            undelivered = false;
            client.failResponse();
        }
    }

    private boolean decide(ProxyMetrics.RequestOutcome outcome) {
        if (!discard()) {
            return false;
        }
        undelivered = true;
        recorder.metrics().requestEnded(requestClass, outcome);
        recorder.recordFinalOutcome(outcome, lastOutcome);
        return true;
    }
}
