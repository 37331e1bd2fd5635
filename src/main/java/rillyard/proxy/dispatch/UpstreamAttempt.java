package rillyard.proxy.dispatch;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.LoadReport;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.upstream.LoadReportParser;
import rillyard.proxy.upstream.UpstreamCall;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * One attempt of a request at a host, which ends with exactly one outcome.
 *
 * <p>A short response is buffered until it is complete. A longer one is forwarded while it is received. Its attempt
 * ends as successful when forwarding begins: the rest of the transfer depends on the client as well as on the host.
 */
public final class UpstreamAttempt extends UpstreamCall {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestExchange exchange;
    private final BalancerDriver driver;
    private final int number;
    private boolean open = true;
    private double sentAtMillis;
    private double notAfterMillis = Double.POSITIVE_INFINITY;
    private Future<?> timeoutTimer;
    private Future<?> writeDeadlineTimer;
    private LoadReport loadReport;
    /** Null while the attempt is open. */
    private AttemptOutcome outcome;

    /** Null until the head of a successful response has been received. */
    private HostResponse response;

    /**
     * Creates an attempt that is not started.
     *
     * @param number number of the attempt within its request, counted from 0
     * @param sentAtMillis time (ms) of the driver's clock
     */
    UpstreamAttempt(
            RequestExchange exchange, BalancerDriver driver, UpstreamHost host, int number, double sentAtMillis) {
        super(host);
        this.exchange = exchange;
        this.driver = driver;
        this.number = number;
        this.sentAtMillis = sentAtMillis;
    }

    /**
     * Starts the attempt.
     *
     * @param timeoutMillis time until the attempt ends, 0 for the deadline of the request
     * @param notAfterMillis time (ms) past which the attempt is not written: hosts no longer hold the idempotency key
     *     of the request that it retries; infinite if that does not matter
     */
    void start(double timeoutMillis, double notAfterMillis) {
        this.notAfterMillis = notAfterMillis;
        if (notAfterMillis < Double.POSITIVE_INFINITY) {
            writeDeadlineTimer =
                    exchange.scheduleForAttempt(notAfterMillis - driver.nowMillis(), this::onWriteDeadline);
        }
        if (timeoutMillis > 0) {
            timeoutTimer = exchange.scheduleForAttempt(timeoutMillis, this::onTimeout);
        }
        driver.upstreams().start(this);
    }

    /** Returns whether the attempt has no outcome yet. */
    boolean isOpen() {
        return open;
    }

    int number() {
        return number;
    }

    /** Returns whether the host may have executed the request, as far as is known by now. */
    boolean mayHaveHadEffect() {
        return outcome == null ? mayHaveExecuted() : !outcome.provesNotExecuted();
    }

    // --- the request

    @Override
    public boolean mayBeWritten() {
        return exchange.mayWriteAttempt(notAfterMillis);
    }

    @Override
    public ChannelFuture write(Channel channel) {
        return exchange.writeTo(channel);
    }

    @Override
    public void onWritten() {
        driver.metrics().attemptWritten();
        if (exchange.isUpload()) {
            sentAtMillis = driver.nowMillis(); // a host starts executing an upload at its last byte
        }
    }

    @Override
    public void onWritable() {
        exchange.onHostWritable();
    }

    @Override
    public void onSendFailed() {
        finish(AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void onLocalFailure() {
        finish(AttemptOutcome.LOCAL_FAILURE);
    }

    @Override
    public void onAbandonedBeforeSend() {
        finish(AttemptOutcome.NOT_SENT);
    }

    private void onWriteDeadline() {
        if (!mayHaveExecuted()) {
            finish(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends the attempt, as its time is up; a request that was not written completely was not executed. */
    void onTimeout() {
        finish(mayHaveExecuted() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT);
    }

    /** Ends the attempt, as its response is not needed. */
    void cancel() {
        finish(mayHaveExecuted() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT);
    }

    // --- the response

    @Override
    public void onResponseHead(HttpResponse head) {
        loadReport = LoadReportParser.parse(head.headers().get(ProtocolHeaders.SERVER_LOAD));
        if (head.status().code() == OK) {
            onSuccessHead(head);
        } else {
            connection().discardRest();
            finish(outcomeOf(head));
        }
    }

    private AttemptOutcome outcomeOf(HttpResponse errorResponse) {
        int status = errorResponse.status().code();
        boolean isProvenNotProcessed = (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && "1".equals(errorResponse.headers().get(ProtocolHeaders.NOT_PROCESSED));
        if (isProvenNotProcessed) {
            return AttemptOutcome.REJECTED;
        }
        return mayHaveExecuted() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
    }

    private void onSuccessHead(HttpResponse head) {
        if (!mayHaveExecuted()) {
            finish(AttemptOutcome.CONNECT_FAILED); // no host can have executed a request that was not sent completely
            return;
        }
        response = new HostResponse(this, exchange, driver, head);
        response.begin();
    }

    @Override
    public void onResponseContent(HttpContent part) {
        response.onContent(part.content());
    }

    /** Begins to forward the response if it is of unknown length and has begun to arrive. */
    void forwardBegunResponse() {
        if (response != null) {
            response.forwardIfBuffered();
        }
    }

    /** Ends the attempt as successful, as its response is forwarded from here on. */
    void onForwarding() {
        open = false;
        reportEnd(AttemptOutcome.OK);
    }

    @Override
    public void onReadComplete() {
        if (response != null) {
            response.onReadComplete();
        }
    }

    @Override
    public void onResponseEnd() {
        response.onEnd();
    }

    @Override
    public void onConnectionLost() {
        if (isForwarding()) {
            driver.log().info(() -> describe(AttemptOutcome.RESET));
            response.onTruncated();
        } else {
            finish(AttemptOutcome.RESET);
        }
    }

    private boolean isForwarding() {
        return response != null && response.isForwarded();
    }

    @Override
    public long stalledAtNanos(long lastReadNanos) {
        return response == null
                ? lastReadNanos + HostResponse.UNKNOWN_LENGTH_STALL_NANOS
                : response.stalledAtNanos(lastReadNanos);
    }

    @Override
    public void onHandlerFailed() {
        exchange.onHandlerFailed();
    }

    // --- the outcome

    /** Ends the attempt and its use of the connection; does nothing if the attempt has an outcome. */
    void finish(AttemptOutcome ended) {
        if (!open) {
            return;
        }
        open = false;
        try {
            logFailure(ended);
            driver.upstreams().release(this);
        } finally {
            reportEnd(ended); // after an exception as well: the request can't end before its attempts
        }
    }

    private void reportEnd(AttemptOutcome ended) {
        outcome = ended;
        cancel(timeoutTimer);
        cancel(writeDeadlineTimer);
        if (response != null) {
            response.release();
        }
        exchange.onAttemptEnded(this, ended, driver.nowMillis() - sentAtMillis, loadReport);
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void logFailure(AttemptOutcome ended) {
        if (ended == AttemptOutcome.TIMEOUT
                || ended == AttemptOutcome.RESET
                || ended == AttemptOutcome.CONNECT_FAILED) {
            driver.log().info(() -> describe(ended));
        }
    }

    private String describe(AttemptOutcome failure) {
        String received = "nothing";
        if (response != null) {
            received = response.progress();
        } else if (connection() == null) {
            received = "no_connection";
        }
        return "attempt: failed, host=" + host().name() + " outcome=" + failure + " elapsed_ms="
                + Math.round(driver.nowMillis() - sentAtMillis) + " received=" + received;
    }
}
