package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.Locale;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.LoadReport;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.LoadReportParser;
import rillyard.proxy.upstream.UpstreamCall;
import rillyard.proxy.upstream.UpstreamHost;

/** One send of a request to a host; it ends with exactly one outcome. */
public final class UpstreamAttempt extends UpstreamCall {
    /** A host may pause for so long (ns) within an answer that is passed on. */
    private static final long STREAM_STALL_NANOS = 10_000_000_000L;

    /**
     * Bytes and time (ms) for which an answer of untold length is held in the hope of its end. Of one
     * that is long the first bytes count, and hosts may give them slowly.
     */
    private static final long UNTOLD_HELD = 32 * 1024;

    private static final double UNTOLD_MS = 30;

    private final RequestExchange exchange;
    private final BalancerDriver dispatcher;
    private final int number;
    private double sentAt;
    private final Runnable resume = this::resumeReading;
    private double notAfter = Double.POSITIVE_INFINITY;
    private Future<?> giveUp;
    private Future<?> tooLate;
    private LoadReport report;
    private HttpResponse head;
    private BufferedBody body;
    private long length;
    private long passed;
    private boolean over;
    private boolean streams;
    private double headAt;

    UpstreamAttempt(RequestExchange exchange, BalancerDriver dispatcher, UpstreamHost host, int number, double sentAt) {
        super(host);
        this.exchange = exchange;
        this.dispatcher = dispatcher;
        this.number = number;
        this.sentAt = sentAt;
    }

    /**
     * Starts it; {@code giveUpAfter} 0 leaves the request's own deadline as its only one. Past {@code notAfter}
     * it is not written any more. Guards against a repeat that waits for its connection until hosts have
     * forgotten the key of the request that it repeats.
     */
    void start(double giveUpAfter, double notAfter) {
        this.notAfter = notAfter;
        if (notAfter < Double.POSITIVE_INFINITY) {
            tooLate = dispatcher.schedule(notAfter - dispatcher.now(), this::notWritten);
        }
        if (giveUpAfter > 0) {
            giveUp = dispatcher.schedule(giveUpAfter, this::timeUp);
        }
        dispatcher.upstreams().start(this);
    }

    boolean open() {
        return !over;
    }

    int number() {
        return number;
    }

    private void notWritten() {
        if (!mayHaveRun()) {
            finish(AttemptOutcome.NOT_SENT);
        }
    }

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
        dispatcher.metrics().attemptWritten();
        if (exchange.isStreaming()) {
            sentAt = dispatcher.now(); // a host begins with the last byte
        }
    }

    @Override
    public void onWritable() {
        exchange.onHostWritable();
    }

    @Override
    public long stallNanos() {
        return streams ? STREAM_STALL_NANOS : STALL_NANOS;
    }

    @Override
    public void onNotSent() {
        finish(AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void onNotNeeded() {
        finish(AttemptOutcome.NOT_SENT);
    }

    /** Nobody waits any longer. What was not written whole never ran, whatever it waited for. */
    void timeUp() {
        finish(mayHaveRun() ? AttemptOutcome.TIMEOUT : AttemptOutcome.NOT_SENT);
    }

    void cancel() {
        finish(mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_SENT);
    }

    @Override
    public void onResponseHead(HttpResponse reply) {
        report = LoadReportParser.parse(reply.headers().get(ProtocolHeaders.SERVER_LOAD));
        int status = reply.status().code();
        if (status == 200) {
            if (!mayHaveRun()) {
                finish(AttemptOutcome.CONNECT_FAILED); // no host can serve what it has not been sent
                return;
            }
            head = reply;
            length = HttpUtil.getContentLength(reply, -1L);
            // Guards against an answer that is said to be larger than any may be, and goes on coming; and
            // against one whose end, for want of a length, looks like a connection that broke half way.
            if (length > BufferedBody.MAX_BYTES
                    || (length < 0 && !HttpUtil.isTransferEncodingChunked(reply) && HttpUtil.isKeepAlive(reply))) {
                onConnectionLost();
                return;
            }
            headAt = dispatcher.now();
            if (length > BufferedBody.MAX_BUFFERED_BYTES) {
                stream();
            }
            return;
        }
        boolean turnedAway =
                (status == 503 || status == 504) && "1".equals(reply.headers().get(ProtocolHeaders.NOT_PROCESSED));
        connection().discardRest();
        finish(
                turnedAway
                        ? AttemptOutcome.REJECTED
                        : mayHaveRun() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void onResponseContent(HttpContent part) {
        int n = part.content().readableBytes();
        passed += n;
        if (passed > BufferedBody.MAX_BYTES) {
            onConnectionLost(); // larger than any answer may be
            return;
        }
        if (streams) {
            pass(part.content().retain());
        } else if (n > 0) {
            if (body == null) {
                body = dispatcher.newBody(length, false);
            }
            body.append(part.content());
            if (body.size() > BufferedBody.MAX_BUFFERED_BYTES
                    || (length < 0 && (body.size() > UNTOLD_HELD || dispatcher.now() - headAt > UNTOLD_MS))) {
                stream();
                return;
            }
            if (dispatcher.bodyMemory().isExhausted(body.size())) {
                connection().pauseReading();
                dispatcher.bodyMemory().awaitCapacity(resume);
            }
        }
    }

    /** Memory is free again. */
    void resumeReading() {
        if (!over && connection() != null) {
            connection().resumeReading();
        }
    }

    // --- answers that are passed on as they come

    /**
     * From here on the answer is this one: the module hears that the host has answered, and what is
     * left is between the client and this host. A reader that takes its time is no queue of the host's.
     */
    private void stream() {
        if (!exchange.beginStream(this, head, length)) {
            finish(AttemptOutcome.OK); // answered otherwise
            return;
        }
        streams = true;
        over = true;
        endTimers();
        dispatcher.bodyMemory().cancelWait(resume);
        if (body != null) {
            BufferedBody first = body;
            body = null;
            first.retainedBlocks().forEach(this::pass);
            first.release();
        }
        exchange.onAttemptEnded(this, AttemptOutcome.OK, dispatcher.now() - sentAt, report);
    }

    private void pass(ByteBuf bytes) {
        if (!exchange.forward(bytes)) {
            connection().pauseReading();
        }
    }

    /** The client takes more. */
    void resumeStream() {
        connection().resumeReading();
    }

    /** Nobody wants the rest of the stream. */
    void abandonStream() {
        dispatcher.upstreams().release(this);
    }

    @Override
    public void onResponseEnd() {
        if (streams) {
            dispatcher.upstreams().release(this);
            exchange.onStreamEnded(true);
            return;
        }
        BufferedBody whole = body;
        body = null;
        exchange.onResponse(head, whole);
        finish(AttemptOutcome.OK);
    }

    @Override
    public void onConnectionLost() {
        if (streams) {
            dispatcher.log().info(() -> describe(AttemptOutcome.RESET));
            dispatcher.upstreams().release(this);
            exchange.onStreamEnded(false);
            return;
        }
        finish(AttemptOutcome.RESET);
    }

    private void finish(AttemptOutcome result) {
        if (over) {
            return;
        }
        over = true;
        endTimers();
        dispatcher.bodyMemory().cancelWait(resume);
        if (body != null) {
            body.release();
            body = null;
        }
        if (result == AttemptOutcome.TIMEOUT
                || result == AttemptOutcome.RESET
                || result == AttemptOutcome.CONNECT_FAILED) {
            dispatcher.log().info(() -> describe(result));
        }
        dispatcher.upstreams().release(this);
        exchange.onAttemptEnded(this, result, dispatcher.now() - sentAt, report);
    }

    private void endTimers() {
        if (giveUp != null) {
            giveUp.cancel(false);
        }
        if (tooLate != null) {
            tooLate.cancel(false);
        }
    }

    private String describe(AttemptOutcome result) {
        String got = head != null
                ? passed + " bytes of an answer of " + length
                : connection() == null ? "no connection" : "no answer";
        return String.format(
                Locale.ROOT, "%s %s after %.0f ms: %s", host().name(), result, dispatcher.now() - sentAt, got);
    }
}
