package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.LoadReport;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * One client request from its dispatch to the end of its response and of its attempts.
 *
 * <p>Keeps the deadline and carries out the balancer's decisions about the request. It ends with exactly one
 * {@link FinalResponse}.
 */
public final class RequestExchange {
    /** A client that takes nothing of its response for so long (ns) has left. */
    public static final long CLIENT_STALL_NANOS = 30_000_000_000L;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final long id;
    private final ClientRequest request;
    private final BalancerDriver driver;
    private final ResponseReceiver client;
    private final FinalResponse response;
    private final ExchangeTimers timers;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private double deadlineAt;
    private int openAttempts;
    private boolean mayHaveExecuted;

    /**
     * Creates the exchange of a request, of which the balancer knows nothing before {@link #dispatch}.
     *
     * @param request the request, whose body the exchange releases
     * @param client gets the response
     */
    public RequestExchange(ClientRequest request, BalancerDriver driver, ResponseReceiver client) {
        request.prepareHeaders();
        this.id = driver.nextRequestId();
        this.request = request;
        this.driver = driver;
        this.client = client;
        this.response = new FinalResponse(driver.outcomeRecorder(), client, request.requestClass());
        this.timers = new ExchangeTimers(driver, request, this::onTimerFailed);
        if (request.isUpload()) {
            deadlineAt = Double.POSITIVE_INFINITY;
        } else {
            deadlineAt = driver.now() + request.timeoutMillis();
            timers.schedule(request.timeoutMillis(), this::onDeadline);
        }
    }

    long id() {
        return id;
    }

    /** Returns the id that the client gave the request. */
    String requestId() {
        return request.requestId();
    }

    /** Passes the request to the balancer. */
    public void dispatch() {
        driver.onRequest(this, request.toIncomingRequest(id));
    }

    /**
     * Runs something later unless the request and its attempts have ended by then. The delay runs from the last byte of
     * a request that is still being received.
     */
    void schedule(double delayMillis, Runnable action) {
        timers.schedule(delayMillis, action);
    }

    /** Runs something for an attempt after a delay from now; the attempt cancels it. */
    Future<?> scheduleForAttempt(double delayMillis, Runnable action) {
        return timers.startNow(delayMillis, action);
    }

    private void onTimerFailed(Throwable cause) {
        onFailure("request: timer failed", cause);
    }

    // --- a body that is forwarded as it comes

    /** Returns whether the body is forwarded as it comes, or was. */
    boolean isUpload() {
        return request.isUpload();
    }

    /** The last byte of an upload has come, and may have waited in its socket for {@code waitedMillis}. */
    public void onUploadComplete(double waitedMillis) {
        request.upload().complete();
        double remainingMillis = Math.max(0, request.timeoutMillis() - waitedMillis);
        deadlineAt = driver.now() + remainingMillis;
        driver.onRequestComplete(this, remainingMillis);
        if (response.isDecided()) {
            timers.dropDeferred();
        } else {
            timers.schedule(remainingMillis, this::onDeadline);
            timers.startDeferred();
        }
    }

    /** The host has stopped taking an upload, which it can't have executed: the attempt ends. */
    public void onHostStalled() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).isOpen()) {
                attempts.get(i).onNotSent();
            }
        }
    }

    /** The host takes more of an upload. */
    void onHostWritable() {
        if (request.isUploadIncomplete()) {
            client.resumeRequestBody();
        }
    }

    // --- attempts

    /** Returns whether an attempt may be written now that must not be written past {@code notAfter} (ms). */
    boolean mayBegin(double notAfter) {
        double now = driver.now();
        return !response.isDecided() && now < notAfter && now < deadlineAt;
    }

    /** Starts an attempt; {@code attemptTimeoutMillis} and {@code notAfter} as of {@link UpstreamAttempt#start}. */
    void send(UpstreamHost host, double attemptTimeoutMillis, double notAfter) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, driver, host, attempts.size(), driver.now());
        attempts.add(attempt);
        openAttempts++;
        if (response.isDecided()
                || !host.isSendable()
                || request.isBoundToConnection()
                || attempts.size() > driver.maxAttempts()
                || attemptTimeoutMillis < 0
                || driver.now() >= deadlineAt) {
            attempt.onNotNeeded();
        } else {
            attempt.start(attemptTimeoutMillis, notAfter);
        }
    }

    /** Cancels the attempt with this number, counted from 0. */
    void cancel(int attemptNumber) {
        attempts.get(attemptNumber).cancel();
    }

    /** Writes the request to a host; returns the future of its last byte. */
    ChannelFuture writeTo(Channel channel) {
        double remainingMillis = request.isUploadIncomplete() ? request.timeoutMillis() : deadlineAt - driver.now();
        ChannelFuture written = request.writeTo(channel, remainingMillis);
        onHostWritable();
        return written;
    }

    void onAttemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome, double elapsedMillis, LoadReport report) {
        openAttempts--;
        response.setLastOutcome(outcome);
        driver.outcomeRecorder().recordAttempt(attempt.host(), outcome, elapsedMillis);
        if (request.isUpload() && !response.isStreamOf(attempt)) {
            onUploadAttemptEnded(attempt, outcome);
        }
        driver.onAttemptEnded(
                this, new AttemptResult(attempt.number(), outcome, elapsedMillis, response.isDecided(), report));
        closeIfDone();
    }

    private void onUploadAttemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
        request.upload().onAttemptEnded(attempt.connection());
        mayHaveExecuted |= !outcome.provesNotExecuted();
        if (request.upload().isConsumed() && openAttempts == 0 && !response.isDecided()) {
            // Nothing is left to send: what never ran is rejected, what may have run has failed.
            if (mayHaveExecuted) {
                fail();
            } else {
                reject(0);
            }
        }
    }

    // --- the response

    /** Rejects the request unless it has its response; {@code retryAfterMillis} is 0 if not known. */
    public void reject(double retryAfterMillis) {
        if (response.reject(retryAfterMillis)) {
            closeIfDone();
        }
    }

    /** Fails the request unless it has its response. */
    void fail() {
        if (response.fail(driver.now() >= deadlineAt ? GATEWAY_TIMEOUT : BAD_GATEWAY)) {
            closeIfDone();
        }
    }

    /** Fails a request on which the balancer has not decided, and tells the balancer that it has ended. */
    public void failWithoutDecision() {
        if (response.isDecided()) {
            return;
        }
        try {
            fail();
        } finally {
            driver.onClientDisconnected(this);
        }
    }

    /**
     * Ends the request and its attempts, as its handling has thrown: with a failure, or, where part of a response was
     * written, with the client's connection. The hosts are not to blame.
     */
    public void onHandlerFailed() {
        try {
            if (response.isDecided()) {
                response.onDeliveryFailed();
            } else {
                failWithoutDecision();
            }
        } finally {
            cancelOpenAttempts();
            closeIfDone();
        }
    }

    /** Logs what was thrown as {@code event}, and ends the request and its attempts. */
    void onFailure(String event, Throwable cause) {
        driver.log().error(event, cause);
        try {
            onHandlerFailed();
        } catch (RuntimeException | Error e) {
            driver.log().error("request: ended without a response", e);
        }
    }

    private void cancelOpenAttempts() {
        for (int i = 0; i < attempts.size(); i++) {
            attempts.get(i).cancel(); // without an effect on those that have ended
        }
    }

    void onResponse(HttpResponse hostResponse, BufferedBody body) {
        response.complete(hostResponse, body);
    }

    /** Begins a response that is forwarded as it comes; returns false if the request has another one. */
    boolean beginStream(ForwardedResponse stream, HttpResponse hostResponse, long contentLength) {
        return response.beginStream(stream, hostResponse, contentLength);
    }

    /** Forwards part of it; returns whether the client takes more for now. */
    boolean forward(ByteBuf content) {
        return response.forward(content);
    }

    /** The forwarded response is complete, or has broken off. */
    void onStreamEnded(boolean complete) {
        response.endStream(complete);
        closeIfDone();
    }

    /** The client takes more of a response that is forwarded. */
    public void onClientWritable() {
        response.onClientWritable();
    }

    // --- ends

    /** The client has left before the end of its response. */
    public void onClientDisconnected() {
        if (response.isStreaming()) {
            response.abandonStream();
        } else if (response.discard()) {
            driver.onClientDisconnected(this);
            cancelUnwritten();
        } else {
            return;
        }
        closeIfDone();
    }

    /**
     * Cancels what must not begin for a client that has left, whether or not the balancer may cancel attempts: a
     * connection may come up later, and the rest of an upload never comes.
     */
    private void cancelUnwritten() {
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamAttempt attempt = attempts.get(i);
            if (request.isUploadIncomplete() || !attempt.mayHaveRun()) {
                attempt.cancel();
            }
        }
    }

    /** Ends a request that was not dispatched, as its client has left. */
    public void discard() {
        response.discard();
        closeIfDone();
    }

    /**
     * Ends the request if its deadline has passed by {@code now} (ms), after the process stalled for
     * {@code stallMillis}. Hosts whose response may lie in a socket of the proxy are not to blame.
     *
     * @return whether the deadline has passed
     */
    boolean endIfOverdue(double now, double stallMillis) {
        if (response.isDecided() || now < deadlineAt) {
            return false;
        }
        onDeadline(now - stallMillis < deadlineAt);
        return true;
    }

    private void onDeadline() {
        onDeadline(false);
    }

    private void onDeadline(boolean isCausedByStall) {
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamAttempt attempt = attempts.get(i);
            if (!attempt.isOpen()) {
                continue;
            }
            if (isCausedByStall) {
                attempt.cancel();
            } else {
                attempt.onTimeout();
            }
        }
        failWithoutDecision(); // where the balancer still queues it, the client's time is up all the same
    }

    private void closeIfDone() {
        if (openAttempts == 0 && response.isComplete()) {
            timers.cancelAll();
            request.release();
            driver.onExchangeClosed(this);
        }
    }
}
