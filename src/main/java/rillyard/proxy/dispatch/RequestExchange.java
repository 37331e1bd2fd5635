package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.LoadReport;
import rillyard.proxy.downstream.ClientConnection;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.UpstreamHost;

/**
 * One client request, from its last byte on. The only place that gives a final answer, and it
 * gives exactly one; holds the deadline, the request and its attempts.
 */
public final class RequestExchange {
    /** A client that takes nothing of its answer for so long (ns) has gone. */
    public static final long CLIENT_STALL = 30_000_000_000L;

    public final long id;
    final String requestId;
    private final String requestClass;
    private final BalancerDriver dispatcher;
    private final ClientConnection client;
    private final HttpRequest head;
    private final BufferedBody body;
    private double deadlineAt;
    private final StreamingUpload upload;
    private final double timeout;
    private final List<Runnable> whenWhole = new ArrayList<>(0);
    private UpstreamAttempt stream;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private final List<Future<?>> timers = new ArrayList<>(2);
    private int open;
    private AttemptOutcome last;
    private boolean mayHaveRun;
    private boolean answered;

    public RequestExchange(
            long id,
            String name,
            String type,
            BalancerDriver dispatcher,
            ClientConnection client,
            HttpRequest head,
            BufferedBody body,
            double deadlineAt,
            double timeout,
            StreamingUpload upload) {
        this.id = id;
        this.requestId = name;
        this.requestClass = type;
        this.dispatcher = dispatcher;
        this.client = client;
        this.head = head;
        this.body = body;
        this.deadlineAt = deadlineAt;
        this.timeout = timeout;
        this.upload = upload;
        dispatcher.metrics().addPending(1);
        ProtocolHeaders.dropHopByHop(head.headers());
        if (body != null) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size());
        }
        head.headers().remove(HttpHeaderNames.EXPECT);
        if (upload == null) {
            schedule(deadlineAt - dispatcher.now(), this::onDeadline);
        }
    }

    /**
     * Runs something later unless the request and its attempts are all over by then. The time of a
     * request that still comes runs from its last byte.
     */
    void schedule(double delay, Runnable what) {
        if (hasStreamingUpload()) {
            whenWhole.add(() -> schedule(delay, what));
        } else {
            timers.add(dispatcher.schedule(delay, what));
        }
    }

    // --- a body that is passed on as it comes

    /** Whether its last byte has not come yet. */
    boolean hasStreamingUpload() {
        return upload != null && !upload.isComplete();
    }

    /** Whether its body is passed on as it comes, or was. */
    boolean isStreaming() {
        return upload != null;
    }

    /** Its last byte has come, and may have waited for so long (ms) in its socket. */
    public void onUploadComplete(double waited) {
        upload.finish();
        double left = Math.max(0, timeout - waited);
        deadlineAt = dispatcher.now() + left;
        dispatcher.onRequestComplete(this, left);
        if (!answered) {
            schedule(left, this::onDeadline);
            whenWhole.forEach(Runnable::run);
        }
        whenWhole.clear();
    }

    /** The host hangs under a body that still comes: it can't have run, and the attempt is over. */
    public void onHostStalled() {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).open()) {
                attempts.get(i).onNotSent();
            }
        }
    }

    void onHostWritable() {
        if (hasStreamingUpload()) {
            client.readOn();
        }
    }

    boolean answered() {
        return answered;
    }

    // --- attempts

    /** Whether an attempt may be written now that must not be so past {@code notAfter} (ms). */
    boolean mayBegin(double notAfter) {
        double now = dispatcher.now();
        return !answered && now < notAfter && now < deadlineAt;
    }

    void send(UpstreamHost host, double giveUpAfter, double notAfter) {
        UpstreamAttempt attempt = new UpstreamAttempt(this, dispatcher, host, attempts.size(), dispatcher.now());
        attempts.add(attempt);
        open++;
        if (answered
                || !host.isSendable()
                || (upload != null && upload.isBound())
                || attempts.size() > dispatcher.maxAttempts()
                || giveUpAfter < 0
                || dispatcher.now() >= deadlineAt) {
            attempt.onNotNeeded();
        } else {
            attempt.start(giveUpAfter, notAfter);
        }
    }

    void cancel(int number) {
        attempts.get(number).cancel();
    }

    ChannelFuture writeTo(Channel channel) {
        HttpHeaders headers = head.headers();
        double left = upload == null || upload.isComplete() ? deadlineAt - dispatcher.now() : timeout;
        headers.set(ProtocolHeaders.TIMEOUT_MS, Math.max(1, (long) left));
        if (upload != null) {
            ChannelFuture last = upload.begin(channel, head, headers);
            onHostWritable();
            return last;
        }
        List<ByteBuf> blocks = body == null ? List.of() : body.retainedBlocks();
        if (blocks.size() <= 1) {
            ByteBuf bytes = blocks.isEmpty() ? Unpooled.EMPTY_BUFFER : blocks.get(0);
            return channel.writeAndFlush(new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, head.method(), head.uri(), bytes, headers, ProtocolHeaders.NONE));
        }
        channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers));
        for (ByteBuf buffer : blocks) {
            channel.write(new DefaultHttpContent(buffer));
        }
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    void onAttemptEnded(UpstreamAttempt attempt, AttemptOutcome result, double spent, LoadReport report) {
        open--;
        last = result;
        dispatcher.onAttemptEnded(attempt.host(), result, spent);
        if (upload != null && stream != attempt) {
            upload.detached(attempt.connection());
            mayHaveRun |= !result.provesNotExecuted();
            if (upload.isConsumed() && open == 0 && !answered) {
                // Nothing is left to send: what never ran is refused, what may have run has failed.
                if (mayHaveRun) {
                    fail();
                } else {
                    reject(0);
                }
            }
        }
        dispatcher.onAttemptOutcome(this, attempt.number(), result, spent, answered, report);
        forgetIfDone();
    }

    // --- the one final answer

    public void reject(double coolDown) {
        if (answer(ProxyMetrics.RequestOutcome.REJECTED)) {
            client.answer(503, coolDown);
            forgetIfDone();
        }
    }

    void fail() {
        if (answer(ProxyMetrics.RequestOutcome.FAILED)) {
            client.answer(dispatcher.now() >= deadlineAt ? 504 : 502, 0);
            forgetIfDone();
        }
    }

    /** Fails what the module has not ended, and tells it that there is nothing left to end. */
    public void failWithoutDecision() {
        if (!answered) {
            fail();
            dispatcher.onClientDisconnected(this);
        }
    }

    void onResponse(HttpResponse reply, BufferedBody whole) {
        if (answer(ProxyMetrics.RequestOutcome.COMPLETED)) {
            client.answer(reply, whole);
        } else if (whole != null) {
            whole.release();
        }
    }

    /** An answer begins that is passed on as it comes; false if there is another one. */
    boolean beginStream(UpstreamAttempt attempt, HttpResponse reply, long length) {
        if (answered) {
            return false;
        }
        answered = true;
        stream = attempt;
        client.beginAnswer(reply, length);
        return true;
    }

    /** Passes part of it on; false if the client takes no more for now. */
    boolean forward(ByteBuf bytes) {
        return client.pass(bytes);
    }

    public void onClientWritable() {
        if (stream != null) {
            stream.resumeStream();
        }
    }

    /** The stream has come to its end, or has broken, which the client is to notice. */
    void onStreamEnded(boolean whole) {
        stream = null;
        dispatcher.metrics().addPending(-1);
        dispatcher
                .metrics()
                .requestEnded(
                        requestClass,
                        whole ? ProxyMetrics.RequestOutcome.COMPLETED : ProxyMetrics.RequestOutcome.FAILED);
        if (whole) {
            client.endAnswer();
        } else {
            client.cutAnswer();
        }
        forgetIfDone();
    }

    private boolean answer(ProxyMetrics.RequestOutcome how) {
        if (answered) {
            return false;
        }
        complete();
        dispatcher.metrics().requestEnded(requestClass, how);
        dispatcher.traceEnd(how, last);
        return true;
    }

    private void complete() {
        answered = true;
        dispatcher.metrics().addPending(-1);
    }

    // --- ends

    /** The client has gone before its answer. */
    public void onClientDisconnected() {
        if (stream != null) {
            UpstreamAttempt attempt = stream;
            stream = null;
            dispatcher.metrics().addPending(-1);
            attempt.abandonStream();
            forgetIfDone();
            return;
        }
        if (answered) {
            return;
        }
        complete();
        dispatcher.onClientDisconnected(this);
        // Whether or not attempts may be called off, none begins for a client that has gone: its connection may
        // come up later. And what was to follow of an upload never comes: no host waits for it.
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamAttempt upstreamAttempt = attempts.get(i);
            if (hasStreamingUpload() || !upstreamAttempt.mayHaveRun()) {
                upstreamAttempt.cancel();
            }
        }
        forgetIfDone();
    }

    /** The client has gone before anything was begun. */
    public void dropUnsent() {
        complete();
        forgetIfDone();
    }

    /**
     * Ends it after a gap of this process's own, in ms, if its time has passed; tells whether it had. A host
     * whose answer may lie in our socket is not to blame.
     */
    boolean endIfOverdue(double now, double gap) {
        if (answered || now < deadlineAt) {
            return false;
        }
        onDeadline(now - gap < deadlineAt);
        return true;
    }

    private void onDeadline() {
        onDeadline(false);
    }

    private void onDeadline(boolean byOurGap) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).open()) {
                if (byOurGap) {
                    attempts.get(i).cancel();
                } else {
                    attempts.get(i).timeUp();
                }
            }
        }
        failWithoutDecision(); // if the module holds it still, the client's time is up all the same
    }

    private void freeBody() {
        if (body != null) {
            body.release();
        }
        if (upload != null) {
            upload.free();
        }
    }

    private void forgetIfDone() {
        if (answered && open == 0 && stream == null) {
            for (int i = 0; i < timers.size(); i++) {
                timers.get(i).cancel(false);
            }
            timers.clear();
            freeBody();
            dispatcher.forget(this);
        }
    }
}
