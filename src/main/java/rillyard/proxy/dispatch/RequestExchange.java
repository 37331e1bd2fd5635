package rillyard.proxy.dispatch;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.LoadReport;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * Handles one client request from its dispatch to the end of its response and of its attempts.
 *
 * <p>Enforces the deadline and carries out the balancer's decisions about the request, which gets exactly one
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
    private double deadlineAtMillis;

    /**
     * Creates the exchange of a request, which is passed to the balancer only by {@link #dispatch}.
     *
     * @param request the request, whose body the exchange releases
     * @param client receives the response
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
            deadlineAtMillis = Double.POSITIVE_INFINITY;
        } else {
            deadlineAtMillis = driver.nowMillis() + request.timeoutMillis();
            timers.schedule(request.timeoutMillis(), this::onDeadline);
        }
    }

    long id() {
        return id;
    }

    /** Returns the id that the client chose for the request. */
    public String requestId() {
        return request.requestId();
    }

    /** Returns the deadline (ms, on the driver's clock), infinite while an upload is being received. */
    double deadlineAtMillis() {
        return deadlineAtMillis;
    }

    /**
     * Passes the request to the balancer, with the time that remains by now. An upload may have been received to its end
     * since the exchange was created: its time has begun then.
     */
    public void dispatch() {
        double remainingMillis = Math.max(0, deadlineAtMillis - driver.nowMillis());
        driver.onRequest(this, request.toIncomingRequest(id, remainingMillis));
    }

    /**
     * Runs {@code action} after a delay unless the request and its attempts have ended by then. If the request is still
     * being received, the delay starts at its last byte.
     */
    void schedule(double delayMillis, Runnable action) {
        timers.schedule(delayMillis, action);
    }

    /** Runs {@code action} for an attempt after a delay from now; the attempt cancels the timer. */
    Future<?> scheduleForAttempt(double delayMillis, Runnable action) {
        return timers.startNow(delayMillis, action);
    }

    private void onTimerFailed(Throwable cause) {
        onFailure("request: timer failed", cause);
    }

    // --- streaming uploads

    /** Returns whether the request may be sent again though a host may have executed it. */
    boolean isRepeatable() {
        return driver.isRepeatable(request.requestClass());
    }

    /** Returns whether the body is, or was, forwarded while it is received. */
    boolean isUpload() {
        return request.isUpload();
    }

    /** Handles the last byte of an upload, which may have waited in its socket for {@code waitedMillis}. */
    public void onUploadComplete(double waitedMillis) {
        request.upload().complete();
        double remainingMillis = Math.max(0, request.timeoutMillis() - waitedMillis);
        deadlineAtMillis = driver.nowMillis() + remainingMillis;
        driver.onRequestComplete(this, remainingMillis); // ignored there unless the request was dispatched
        if (response.isDecided()) {
            timers.dropDeferred();
        } else {
            timers.schedule(remainingMillis, this::onDeadline);
            timers.startDeferred();
        }
    }

    /**
     * Rejects an upload and ends its attempts, as its host reads it too slowly to have it in time. No host can have
     * executed the request, as none has been sent its last byte.
     */
    public void onHostStalled() {
        try {
            attempts.endAllAsSendFailed();
        } finally {
            if (!response.isDecided()) {
                reject(0);
                driver.onClientDisconnected(this);
                attempts.cancelAll();
            }
        }
    }

    /** Resumes reading an upload from the client, as the host accepts more. */
    void onHostWritable() {
        if (request.isUploadIncomplete()) {
            client.resumeRequestBody();
        }
    }

    // --- attempts

    /** Returns whether an attempt that must not be written after {@code notAfterMillis} may be written now. */
    boolean mayWriteAttempt(double notAfterMillis) {
        double nowMillis = driver.nowMillis();
        return !response.isDecided()
                && nowMillis < notAfterMillis
                && nowMillis < deadlineAtMillis
                && client.isClientPresent();
    }

    /** Starts an attempt; for the times see {@link UpstreamAttempt#start}. */
    void send(UpstreamHost host, double attemptTimeoutMillis, double notAfterMillis) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, driver, host, attempts.size(), driver.nowMillis());
        if (attempts.hasLostReusedConnection()) {
            attempt.requireNewConnection(); // the host may have dropped all idle connections
        }
        attempts.add(attempt);
        boolean mayStart = attemptTimeoutMillis >= 0 && mayStartAttempt(host);
        if (mayStart && client.isClientPresent()) {
            attempt.start(attemptTimeoutMillis, notAfterMillis);
            return;
        }
        attempt.onAbandonedBeforeSend();
        if (mayStart) {
            endForUnreadInput();
        }
    }

    /** Ends the request, as its client may have left: its input is unread, and so would be the end of its connection. */
    public void endForUnreadInput() {
        if (response.isDecided()) {
            return;
        }
        driver.log().info(() -> "request: ended, reason=unread_input id=" + requestId());
        if (attempts.mayHaveExecuted()) {
            fail();
        } else {
            reject(0);
        }
        driver.onClientDisconnected(this);
    }

    /** Returns whether the attempt that was added last may be started. */
    private boolean mayStartAttempt(UpstreamHost host) {
        return !response.isDecided()
                && host.isSendable()
                && !request.isBoundToConnection()
                && attempts.size() <= driver.maxAttempts()
                && driver.nowMillis() < deadlineAtMillis;
    }

    /** Cancels the attempt with this number, counted from 0. */
    void cancel(int attemptNumber) {
        attempts.cancel(attemptNumber);
    }

    /** Writes the request to a host; returns the future of the write of its last byte. */
    ChannelFuture writeTo(Channel channel) {
        double remainingMillis =
                request.isUploadIncomplete() ? request.timeoutMillis() : deadlineAtMillis - driver.nowMillis();
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
        // The body can't be sent again: the request is rejected if no host can have executed it, and fails otherwise.
        if (upload.mayHaveExecuted()) {
            fail();
        } else {
            reject(0);
        }
    }

    // --- the response

    /** Rejects the request unless it has a response; {@code retryAfterMillis} is 0 if unknown. */
    public void reject(double retryAfterMillis) {
        if (response.reject(retryAfterMillis)) {
            closeIfDone();
        }
    }

    /** Fails the request unless it has a response. */
    void fail() {
        if (response.fail(driver.nowMillis() >= deadlineAtMillis ? GATEWAY_TIMEOUT : BAD_GATEWAY)) {
            closeIfDone();
        }
    }

    /** Fails a request on which the balancer has not decided, and notifies the balancer of the end of the request. */
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
     * Ends the request and its attempts, as its handling has thrown: with a failure, or, if part of a response was
     * written, by closing the client's connection. It does not count as a failure of the hosts.
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

    /** Logs {@code cause} as {@code event}, and ends the request and its attempts. */
    void onFailure(String event, Throwable cause) {
        driver.log().error(event, cause);
        try {
            onHandlerFailed();
        } catch (RuntimeException | Error e) {
            driver.log().error("request: ended without a response", e);
        }
    }

    /** Returns the response, to which the responses of hosts are offered. */
    FinalResponse response() {
        return response;
    }

    /** Ends the forwarded response, which is complete or was truncated. */
    void onStreamEnded(boolean complete) {
        response.endStream(complete);
        closeIfDone();
    }

    /** Resumes a forwarded response, as the client accepts more. */
    public void onClientWritable() {
        response.onClientWritable();
    }

    // --- the end of the request

    /** Ends the request, as the client has left before the end of its response. */
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
     * Cancels the attempts that must not start for a client that has left, whether or not the balancer may cancel
     * attempts: a connection may be established later, and the rest of an upload never arrives.
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
     * Ends the request if its deadline has passed by {@code nowMillis}, after the process stalled for
     * {@code stallMillis}. A deadline that passed during the stall does not count as a timeout of the hosts, whose
     * response may be waiting in a socket of the proxy.
     *
     * @return whether the deadline has passed
     */
    boolean endIfOverdue(double nowMillis, double stallMillis) {
        if (response.isDecided() || nowMillis < deadlineAtMillis) {
            return false;
        }
        onDeadline(nowMillis - stallMillis < deadlineAtMillis);
        return true;
    }

    private void onDeadline() {
        onDeadline(false);
    }

    private void onDeadline(boolean isCausedByStall) {
        attempts.forwardBegunResponses(); // the first bytes of a long response have come in time
        if (response.isDecided()) {
            return;
        }
        if (isCausedByStall) {
            attempts.cancelAll();
        } else {
            attempts.timeOutAll();
        }
        failWithoutDecision(); // the deadline holds for a request that the balancer still queues, too
    }

    private void closeIfDone() {
        if (!attempts.hasOpen() && response.isComplete()) {
            timers.cancelAll();
            request.release();
            driver.onExchangeClosed(this);
        }
    }
}
