package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.proxy.resources.BufferedBody;

/**
 * Gives a request exactly one response: sends and counts the first that is offered, and ignores every other.
 *
 * <p>The methods that offer a response, other than {@link #complete}, return whether it was accepted.
 */
final class FinalResponse {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final OutcomeRecorder recorder;
    private final ResponseReceiver client;
    private final String requestClass;
    private boolean decided;
    /** Whether a complete response was accepted that has not been passed to the receiver completely. */
    private boolean undelivered;

    private AttemptOutcome lastOutcome;
    private ForwardedResponse stream;

    FinalResponse(OutcomeRecorder recorder, ResponseReceiver client, String requestClass) {
        this.recorder = recorder;
        this.client = client;
        this.requestClass = requestClass;
        recorder.metrics().addPending(1);
    }

    /** Returns whether the response has been sent or begun, or the client has left. */
    boolean isDecided() {
        return decided;
    }

    /** Returns whether the response is decided and no part of it is outstanding. */
    boolean isComplete() {
        return decided && stream == null;
    }

    /** Returns whether the response of this attempt is the one that is being forwarded. */
    boolean isStreamOf(UpstreamAttempt attempt) {
        return stream != null && stream.attempt() == attempt;
    }

    boolean isStreaming() {
        return stream != null;
    }

    /** Sets the outcome of the latest attempt, which the trace records with a rejection or failure. */
    void setLastOutcome(AttemptOutcome outcome) {
        lastOutcome = outcome;
    }

    /** Offers a rejection; {@code retryAfterMillis} is 0 if unknown. */
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

    /** Ends the request without a response, as its client has left; returns false if a response was accepted before. */
    boolean discard() {
        if (decided) {
            return false;
        }
        decided = true;
        recorder.metrics().addPending(-1);
        return true;
    }

    /** Offers a response that is forwarded while it is received; {@code contentLength} is -1 if unknown. */
    boolean beginStream(ForwardedResponse offered, HttpResponse response, long contentLength) {
        if (decided) {
            return false;
        }
        decided = true;
        stream = offered;
        try {
            client.beginResponse(response, contentLength);
        } catch (RuntimeException | Error e) {
            stream = null; // nothing of it was written: the request may get another response
            decided = false;
            throw e;
        }
        return true;
    }

    /** Forwards a part of the response; returns whether the client accepts more for now. */
    boolean forward(ByteBuf content) {
        return client.sendContent(content);
    }

    /** Sends the forwarded parts that may have been kept to be sent together. */
    void flush() {
        client.flushContent();
    }

    /** Resumes a forwarded response, as the client accepts more. */
    void onClientWritable() {
        if (stream != null) {
            stream.resume();
        }
    }

    /** Ends the forwarded response, which is complete or was truncated. */
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

    /** Gives up the forwarded response, as the client has left. */
    void abandonStream() {
        ForwardedResponse abandoned = stream;
        stream = null;
        recorder.metrics().addPending(-1);
        abandoned.abandon();
    }

    /**
     * Ends an accepted response whose delivery has thrown: with a failure if nothing of it was written, else by closing
     * the client's connection.
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
