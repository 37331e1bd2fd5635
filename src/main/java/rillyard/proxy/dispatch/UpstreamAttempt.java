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
 * <p>A short response is buffered until it is complete. A longer one is forwarded as it comes, and its attempt ends as
 * that begins: the rest is between the client and the host.
 */
public final class UpstreamAttempt extends UpstreamCall {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RequestExchange exchange;
    private final BalancerDriver driver;
    private final int number;
    private boolean open = true;
    private double sentAt;
    private double notAfter = Double.POSITIVE_INFINITY;
    private Future<?> timeout;
    private Future<?> writeDeadline;
    private LoadReport loadReport;
    /** Null until the head of a successful response has come. */
    private HostResponse response;

    /**
     * Creates an attempt that is not started.
     *
     * @param number number of the attempt within its request, counted from 0
     * @param sentAt time (ms) of the driver's clock
     */
    UpstreamAttempt(RequestExchange exchange, BalancerDriver driver, UpstreamHost host, int number, double sentAt) {
        super(host);
        this.exchange = exchange;
        this.driver = driver;
        this.number = number;
        this.sentAt = sentAt;
    }

    /**
     * Starts the attempt.
     *
     * @param timeoutMillis time until it ends, 0 for the deadline of the request
     * @param notAfter time (ms) past which it is not written: hosts have forgotten the idempotency key of the request
     *     that it retries; infinite if that does not matter
     */
    void start(double timeoutMillis, double notAfter) {
        this.notAfter = notAfter;
        if (notAfter < Double.POSITIVE_INFINITY) {
            writeDeadline = exchange.scheduleForAttempt(notAfter - driver.now(), this::onWriteDeadline);
        }
        if (timeoutMillis > 0) {
            timeout = exchange.scheduleForAttempt(timeoutMillis, this::onTimeout);
        }
        driver.upstreams().start(this);
    }

    /** Returns whether it has no outcome yet. */
    boolean isOpen() {
        return open;
    }

    int number() {
        return number;
    }

    // --- the request

    @Override
    public boolean mayBegin() {
        return exchange.mayBegin(notAfter);
    }

    @Override
    public ChannelFuture write(Channel channel) {
        return exchange.writeTo(channel);
    }

    @Override
    public void onWritten() {
        driver.metrics().attemptWritten();
        if (exchange.isUpload()) {
            sentAt = driver.now(); // a host begins with the last byte
        }
    }

    @Override
    public void onWritable() {
        exchange.onHostWritable();
    }

    @Override
    public void onNotSent() {
        finish(AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void onLocalFailure() {
        finish(AttemptOutcome.LOCAL_FAILURE);
    }

    @Override
    public void onNotNeeded() {
        finish(AttemptOutcome.NOT_SENT);
    }

    private void onWriteDeadline() {
        if (!mayHaveRun()) {
            finish(AttemptOutcome.NOT_SENT);
        }
    }

    /** Ends it as its time is up. What was not written completely never ran, whatever it waited for. */
    void onTimeout() {
        finish(mayHaveRun() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT);
    }

    /** Ends it as its response is not wanted. */
    void cancel() {
        finish(mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT);
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
        return mayHaveRun() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
    }

    private void onSuccessHead(HttpResponse head) {
        if (!mayHaveRun()) {
            finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
            return;
        }
        response = new HostResponse(this, exchange, driver, head);
        response.begin();
    }

    @Override
    public void onResponseContent(HttpContent part) {
        response.onContent(part.content());
    }

    /** The response is forwarded from here on: the host has responded, and what follows concerns it and the client. */
    void onForwarding() {
        open = false;
        reportEnd(AttemptOutcome.OK);
    }

    @Override
    public void onResponseEnd() {
        response.onEnd();
    }

    @Override
    public void onConnectionLost() {
        if (isForwarding()) {
            driver.log().info(() -> describe(AttemptOutcome.RESET));
            response.onBrokenOff();
        } else {
            finish(AttemptOutcome.RESET);
        }
    }

    private boolean isForwarding() {
        return response != null && response.isForwarded();
    }

    @Override
    public long stallNanos() {
        return isForwarding() ? ForwardedResponse.STALL_NANOS : STALL_NANOS;
    }

    @Override
    public void onHandlerFailed() {
        exchange.onHandlerFailed();
    }

    // --- the outcome

    /** Ends it and its use of the connection; does nothing if it has an outcome. */
    void finish(AttemptOutcome outcome) {
        if (!open) {
            return;
        }
        open = false;
        try {
            logFailure(outcome);
            driver.upstreams().release(this);
        } finally {
            reportEnd(outcome); // the request ends after its attempts
        }
    }

    private void reportEnd(AttemptOutcome outcome) {
        cancel(timeout);
        cancel(writeDeadline);
        if (response != null) {
            response.release();
        }
        exchange.onAttemptEnded(this, outcome, driver.now() - sentAt, loadReport);
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void logFailure(AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED) {
            driver.log().info(() -> describe(outcome));
        }
    }

    private String describe(AttemptOutcome outcome) {
        String received = "nothing";
        if (response != null) {
            received = response.progress();
        } else if (connection() == null) {
            received = "no_connection";
        }
        return "attempt: failed, host=" + host().name() + " outcome=" + outcome + " elapsed_ms="
                + Math.round(driver.now() - sentAt) + " received=" + received;
    }
}
