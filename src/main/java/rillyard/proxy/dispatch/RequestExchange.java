package rillyard.proxy.dispatch;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.LoadReport;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * One client request from its dispatch to the end of its response and of its attempts.
 *
 * <p>Keeps the deadline and carries out the balancer's decisions about the request. It ends with exactly one
 * {@link FinalResponse}.
 */
public final class RequestExchange {
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final long id;
    private final ClientRequest request;
    private final BalancerDriver driver;
    private final ResponseReceiver client;
    private final FinalResponse response;
    private final ExchangeTimers timers;
    private final AttemptList attempts = new AttemptList();
    private double deadlineAt;

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
        attempts.endAllAsNotSent();
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
        if (attempts.hasLostKeptConnection()) {
            attempt.requireNewConnection(); // all that are kept may be gone
        }
        attempts.add(attempt);
        if (attemptTimeoutMillis >= 0 && mayStartAttempt(host)) {
            attempt.start(attemptTimeoutMillis, notAfter);
        } else {
            attempt.onNotNeeded();
        }
    }

    /** Returns whether the attempt that was added last may be started. */
    private boolean mayStartAttempt(UpstreamHost host) {
        return !response.isDecided()
                && host.isSendable()
                && !request.isBoundToConnection()
                && attempts.size() <= driver.maxAttempts()
                && driver.now() < deadlineAt;
    }

    /** Cancels the attempt with this number, counted from 0. */
    void cancel(int attemptNumber) {
        attempts.cancel(attemptNumber);
    }

    /** Writes the request to a host; returns the future of its last byte. */
    ChannelFuture writeTo(Channel channel) {
        double remainingMillis = request.isUploadIncomplete() ? request.timeoutMillis() : deadlineAt - driver.now();
        ChannelFuture written = request.writeTo(channel, remainingMillis);
        onHostWritable();
        return written;
    }

    void onAttemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome, double elapsedMillis, LoadReport report) {
        attempts.onEnded();
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
        StreamingUpload upload = request.upload();
        upload.onAttemptEnded(attempt.connection(), outcome);
        if (!upload.isConsumed() || attempts.hasOpen() || response.isDecided()) {
            return;
        }
        // Nothing is left to send: what never ran is rejected, what may have run has failed.
        if (upload.mayHaveExecuted()) {
            fail();
        } else {
            reject(0);
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
            attempts.cancelAll();
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

    /** Returns the response, for hosts' responses to be offered. */
    FinalResponse response() {
        return response;
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
        if (request.isUploadIncomplete()) {
            attempts.cancelAll();
        } else {
            attempts.cancelUnwritten();
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
        if (isCausedByStall) {
            attempts.cancelAll();
        } else {
            attempts.timeOutAll();
        }
        failWithoutDecision(); // where the balancer still queues it, the client's time is up all the same
    }

    private void closeIfDone() {
        if (!attempts.hasOpen() && response.isComplete()) {
            timers.cancelAll();
            request.release();
            driver.onExchangeClosed(this);
        }
    }
}
