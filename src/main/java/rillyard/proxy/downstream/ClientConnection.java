package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.Settings;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.dispatch.RequestExchange;
import rillyard.proxy.dispatch.StreamingUpload;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.DescriptorBudget;

/** A connection of the application's: reads its requests one by one and writes their answers. */
public final class ClientConnection extends ChannelInboundHandlerAdapter implements DescriptorBudget.IdleConnection {
    /** How long (ns) a head may take, of which clients are allowed 2 s. */
    private static final long SLOW_NANOS = 2_300_000_000L;

    /** How long (ns) a request may take to come whole besides what its bytes take at the least rate. */
    private static final long BODY_NANOS = 6_000_000_000L;

    /** Bytes a second; clients take and give bodies at 64 kB a second. */
    private static final double LEAST_RATE = 8_192;

    /**
     * How long (ns) a host may take nothing of a body. Guards against one that hangs under a request whose
     * time does not run yet, as its last byte has not come.
     */
    private static final long UNTAKEN_NANOS = 5_000_000_000L;

    /** How long (ns) a body that has begun may bring nothing. */
    private static final long SILENT_NANOS = 2_200_000_000L;

    /**
     * How long (ns) a connection may stand with no request on it. Clients may count on 2 s; those that
     * keep theirs for good without need take the places of others, theirs and ours.
     */
    private static final long IDLE_NANOS = 2_100_000_000L;

    /** How long (ms) the rest of a rejected message is read, so that the client sees its answer. */
    private static final long LINGER_MS = 500;

    /** The longest (ms) that a request waits for memory, and no longer than half of its time. */
    private static final double MAX_PAUSE_MS = 400;

    /** A request that is whole so soon (ns) after a pause had been waiting in its socket. */
    private static final long JUST_NOW_NANOS = 20_000_000L;

    private final ClientListener front;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final boolean overflow;
    private final Runnable resume = this::resumeReading;
    private final ArrayDeque<HttpObject> ahead = new ArrayDeque<>(0);
    private HttpRequest head;
    private BufferedBody body;
    private long received;
    private boolean health;
    private double timeout;
    private String type;
    private RequestExchange exchange;
    private StreamingUpload upload;
    private boolean skipping;
    private long blockedSince;
    private boolean closing;
    private boolean rejected;
    private boolean paused;
    private long pausedAt;
    private long resumedAt;
    private Future<?> pauseEnd;
    private long receivingSince;
    private long writingSince;
    private long idleSince = System.nanoTime();
    private boolean used;

    /** {@code overflow} marks a connection beyond what is allowed: its request is refused. */
    ClientConnection(
            ClientListener front, PeekableSocketChannel channel, ClientRequestDecoder decoder, boolean overflow) {
        this.front = front;
        this.channel = channel;
        this.decoder = decoder;
        this.overflow = overflow;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        front.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        RequestExchange requestExchange = exchange;
        exchange = null;
        endPause();
        dropRequest();
        while (!ahead.isEmpty()) {
            ReferenceCountUtil.release(ahead.poll());
        }
        if (requestExchange != null) {
            requestExchange.onClientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            front.log().error("a client's connection failed", cause);
            if (exchange != null) {
                closing = true; // its answer is to arrive
                exchange.failWithoutDecision();
                if (exchange == null) {
                    return;
                }
            }
        }
        channel.close();
    }

    // --- reading

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (exchange != null && upload == null && !rejected) {
            // Sent ahead of its time: it waits for the answer before it. What follows is read all the same, as
            // the end of the connection lies behind it, after which nothing may be begun for this client.
            ahead.add((HttpObject) msg);
            decoder.hold();
            return;
        }
        try {
            take((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void take(HttpObject part) {
        if (rejected) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            reject(
                    cause instanceof TooLongHttpLineException
                            ? 414
                            : cause instanceof TooLongHttpHeaderException ? 431 : 400);
            return;
        }
        if (skipping) {
            if (part instanceof LastHttpContent) {
                skipped();
            }
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (part instanceof HttpContent content && !rejected) {
            ByteBuf bytes = content.content();
            if (bytes.isReadable()) {
                append(bytes);
            }
            if (part instanceof LastHttpContent && !rejected) {
                if (skipping) {
                    skipped();
                } else {
                    complete();
                }
            }
        }
    }

    /** All has come of a request that had its answer before. */
    private void skipped() {
        skipping = false;
        decoder.receiving = decoder.surplus();
        receivingSince = 0;
        if (closing) {
            linger();
        } else if (!decoder.receiving) {
            idleAgain();
        }
    }

    private void begin(HttpRequest request) {
        front.descriptors().setClientIdle(this, false);
        used = true;
        head = request;
        received = 0;
        closing = !HttpUtil.isKeepAlive(request);
        RequestValidator.toOriginForm(request);
        health = request.uri().equals("/_health");
        HttpMethod method = request.method();
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            reject(505);
        } else if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
            reject(405);
        } else if (HttpUtil.getContentLength(request, 0L) > BufferedBody.MAX_BYTES) {
            reject(413);
        } else if (!health) {
            check(request);
        }
        if (!rejected && HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Takes on only what has the form of the protocol. Guards against hosts that are blamed for
     * turning away, or end a connection over, what no client should have sent; also against names and
     * ids of any length that we would keep. It does harm if the protocol gains a form not known here.
     */
    private void check(HttpRequest request) {
        HttpHeaders headers = request.headers();
        String id = RequestValidator.single(headers, ProtocolHeaders.REQUEST_ID);
        String named = RequestValidator.single(headers, ProtocolHeaders.CLASS);
        type = named == null ? RequestValidator.pathClass(request.uri()) : named;
        Settings.RequestClass requestClass = front.requestClass(type);
        if (id == null
                || id.isBlank()
                || RequestValidator.single(headers, HttpHeaderNames.HOST) == null
                || !RequestValidator.onceAtMost(
                        headers, ProtocolHeaders.CLASS, ProtocolHeaders.TIMEOUT_MS, ProtocolHeaders.IDEMPOTENCY_KEY)) {
            reject(400);
        } else if (requestClass == null || !type.equals(RequestValidator.pathClass(request.uri()))) {
            reject(404);
        } else if (!RequestValidator.fits(requestClass, request)) {
            reject(400);
        } else {
            timeout = RequestValidator.timeout(headers.get(ProtocolHeaders.TIMEOUT_MS), requestClass);
            if (Double.isNaN(timeout)) {
                reject(400);
            } else if (front.driver().isKnownRequestId(id)) {
                reject(409); // the id of another request, which alone has a claim to its answer
            }
        }
    }

    private void append(ByteBuf bytes) {
        received += bytes.readableBytes();
        if (received > BufferedBody.MAX_BYTES || (health && received > BufferedBody.MAX_BUFFERED_BYTES)) {
            reject(413);
            return;
        }
        if (upload != null) {
            upload.append(bytes);
            if (!upload.hasCapacity()) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        if (body == null) {
            body = front.driver().newBody(HttpUtil.getContentLength(head, -1L), true);
        }
        body.append(bytes);
        if (body.size() > BufferedBody.MAX_BUFFERED_BYTES) {
            beginUpload();
            return;
        }
        if (front.bodyMemory().isExhausted(body.size())) {
            if (front.bodyMemory().isDeadlocked()) {
                // Guards against requests that wait for each other's memory: the one at hand gives way.
                refuseForMemory();
            } else {
                paused = true;
                pausedAt = System.nanoTime();
                channel.config().setAutoRead(false);
                front.bodyMemory().awaitCapacity(resume);
                long most = (long) Math.min(MAX_PAUSE_MS, timeout / 2);
                pauseEnd = channel.eventLoop().schedule(this::refuseForMemory, most, TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Guards against a request that is lost in our queue: what is not read may have been sent whole,
     * and its client waits for an answer. It was sent to no host, so trying again is harmless.
     */
    private void refuseForMemory() {
        front.onRejectedForMemory();
        front.driver().metrics().requestEnded(type, ProxyMetrics.RequestOutcome.REJECTED);
        reject(503);
    }

    private void resumeReading() {
        endPause();
        receivingSince = System.nanoTime();
        channel.config().setAutoRead(true);
    }

    private void endPause() {
        if (paused) {
            paused = false;
            resumedAt = System.nanoTime();
            front.bodyMemory().cancelWait(resume);
            pauseEnd.cancel(false);
        }
    }

    /** A body that is longer than may be held: its request goes to a host, and the rest follows it. */
    private void beginUpload() {
        if (paused) {
            endPause();
        }
        BalancerDriver driver = front.driver();
        HttpRequest request = head;
        BufferedBody start = body;
        head = null;
        body = null;
        String id = request.headers().get(ProtocolHeaders.REQUEST_ID);
        if (driver.isKnownRequestId(id)) {
            start.release();
            reject(409);
            return;
        }
        channel.config().setAutoRead(false);
        upload = new StreamingUpload(start, HttpUtil.getContentLength(request, -1L));
        boolean room = !overflow && driver.openRequests() < front.maxOpen();
        exchange = new RequestExchange(
                driver.nextRequestId(),
                id,
                type,
                driver,
                this,
                request,
                null,
                Double.POSITIVE_INFINITY,
                timeout,
                upload);
        if (room) {
            driver.onRequest(exchange, arrival(request.headers(), exchange.id, Double.POSITIVE_INFINITY));
        } else {
            front.onRejectedForDescriptors();
            closing |= overflow;
            exchange.reject(0);
        }
    }

    /** The connection to the host takes more of the body. */
    public void readOn() {
        decoder.readAt = System.nanoTime(); // the pause was the host's, and no silence of the client's
        channel.config().setAutoRead(true);
    }

    private IncomingRequest arrival(HttpHeaders headers, long id, double budget) {
        return new IncomingRequest(
                id,
                type,
                headers.get(ProtocolHeaders.TENANT),
                budget,
                RequestValidator.estimate(headers.get(ProtocolHeaders.COST)),
                "1".equals(headers.get(ProtocolHeaders.RETRIED)));
    }

    private void complete() {
        decoder.receiving = decoder.surplus();
        if (paused) {
            resumeReading();
        }
        receivingSince = 0;
        if (upload != null) {
            upload = null;
            readOn();
            exchange.onUploadComplete(waited() / 1e6);
            return;
        }
        HttpRequest request = head;
        BufferedBody whole = body;
        head = null;
        body = null;
        if (whole != null) {
            whole.markComplete();
        }
        if (health) {
            free(whole);
            answer(front.isReady() ? 200 : 503, 0);
            return;
        }
        BalancerDriver driver = front.driver();
        if (overflow || driver.openRequests() >= front.maxOpen()) {
            front.onRejectedForDescriptors();
            driver.metrics().requestEnded(type, ProxyMetrics.RequestOutcome.REJECTED);
            free(whole);
            closing |= overflow;
            answer(503, 0);
            return;
        }
        // Time in our own queue comes off the client's budget: its last byte may have waited there.
        double budget = Math.max(0, timeout - waited() / 1e6);
        String id = request.headers().get(ProtocolHeaders.REQUEST_ID);
        if (driver.isKnownRequestId(id)) { // it has come elsewhere while this one's body was on its way
            free(whole);
            reject(409);
            return;
        }
        exchange = new RequestExchange(
                driver.nextRequestId(), id, type, driver, this, request, whole, driver.now() + budget, budget, null);
        if (channel.isEndOfStream()) {
            // Guards against work for clients that left while the loop was behind: each send would be
            // called off at once, at the price of its connection, and the loop fall further behind.
            exchange.dropUnsent();
            exchange = null;
            channel.close();
            return;
        }
        decoder.receiving |= channel.hasPeekedByte();
        driver.onRequest(exchange, arrival(request.headers(), exchange.id, budget));
    }

    /** For how long (ns) the last byte read may have waited for us: in its socket, and before that unaccepted. */
    private long waited() {
        long now = System.nanoTime();
        long paused = now - resumedAt < JUST_NOW_NANOS ? resumedAt - pausedAt : 0;
        return Math.max(paused, now - channel.readableSince());
    }

    private static void free(BufferedBody body) {
        if (body != null) {
            body.release();
        }
    }

    private void dropRequest() {
        free(body);
        body = null;
        head = null;
    }

    // --- writing

    /** An answer of our own. */
    public void answer(int status, double coolDownMs) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
        r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (coolDownMs > 0) {
            r.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", coolDownMs / 1_000));
        }
        markClose(r);
        answered(channel.writeAndFlush(r));
    }

    /** A host's answer that has come whole. */
    public void answer(HttpResponse reply, BufferedBody whole) {
        HttpHeaders headers = reply.headers();
        ProtocolHeaders.dropHopByHop(headers);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, whole == null ? 0 : whole.size());
        ByteBuf bytes = whole == null ? Unpooled.EMPTY_BUFFER : joined(whole);
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes, headers, ProtocolHeaders.NONE);
        markClose(r);
        ChannelFuture written = channel.writeAndFlush(r);
        if (whole != null) {
            written.addListener(f -> whole.release());
        }
        answered(written);
    }

    /** The head of an answer that is passed on as it comes; {@code length} is -1 where it isn't told. */
    public void beginAnswer(HttpResponse reply, long length) {
        HttpHeaders headers = reply.headers();
        ProtocolHeaders.dropHopByHop(headers);
        if (length >= 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
        markClose(r);
        channel.writeAndFlush(r);
    }

    /** Part of it; false if the connection takes no more for now. */
    public boolean pass(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        return channel.isWritable();
    }

    public void endAnswer() {
        answered(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** It broke half way: the client sees an end that is none. */
    public void cutAnswer() {
        exchange = null;
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        blockedSince = channel.isWritable() ? 0 : System.nanoTime();
        if (blockedSince == 0 && exchange != null) {
            exchange.onClientWritable();
        }
    }

    private static ByteBuf joined(BufferedBody whole) {
        ByteBuf[] blocks = whole.retainedBlocks().toArray(ByteBuf[]::new);
        return blocks.length == 1 ? blocks[0] : Unpooled.wrappedBuffer(blocks);
    }

    private void markClose(HttpResponse response) {
        closing |= front.isDraining();
        if (closing) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void answered(ChannelFuture written) {
        exchange = null;
        if (upload != null && !rejected) {
            upload = null;
            skipping = true;
            channel.config().setAutoRead(true);
        }
        if (closing && !skipping) {
            written.addListener(f -> linger());
            return;
        }
        if (!written.isDone()) {
            writingSince = System.nanoTime();
            written.addListener(f -> writingSince = 0);
        }
        receivingSince = 0; // what came meanwhile had to wait, by no fault of its client's
        if (!ahead.isEmpty() || decoder.holds()) {
            takeAhead();
        } else if (!decoder.receiving && !skipping) {
            idleAgain();
        }
    }

    private void idleAgain() {
        idleSince = System.nanoTime();
        front.descriptors().setClientIdle(this, true);
    }

    private void takeAhead() {
        while (exchange == null && !ahead.isEmpty()) {
            HttpObject part = ahead.poll();
            try {
                take(part);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }
        if (exchange == null && ahead.isEmpty() && decoder.holds()) {
            // Not at once: guards against a decoder that is entered again while it is at work.
            channel.eventLoop().execute(this::takeHeld);
        }
    }

    private void takeHeld() {
        if (exchange == null && ahead.isEmpty()) {
            if (!paused) {
                channel.config().setAutoRead(true);
            }
            decoder.letGo();
        }
    }

    /** Answers what can't be a request and ends the connection. */
    private void reject(int status) {
        rejected = true;
        if (exchange != null) { // its body goes wrong while it is passed on: no host gets the end of it
            RequestExchange requestExchange = exchange;
            exchange = null;
            upload = null;
            requestExchange.onClientDisconnected();
        }
        decoder.deaf = true;
        endPause();
        dropRequest();
        closing = true;
        answer(status, 0);
        channel.config().setAutoRead(true);
    }

    /**
     * Lingering close. Guards against a reset that overtakes an answer: a close while bytes are unread would be
     * one, so the sending ends first, and what still comes is read and thrown away. A request among it is sent
     * nowhere: its client sees the end before any answer, and asks again elsewhere.
     */
    private void linger() {
        closing = true;
        rejected = true;
        decoder.deaf = true;
        if (!channel.isActive()) {
            return;
        }
        front.descriptors().setClientIdle(this, false);
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(channel::shutdownOutputAndDrain, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    // --- upkeep

    /** Whether it carries a request, or part of one, or an answer that is not written yet. */
    boolean busy() {
        return exchange != null || skipping || decoder.receiving || writingSince != 0 || closing;
    }

    /** Makes room at once. */
    @Override
    public void closeIdle() {
        if (!taken()) {
            rejected = true;
            decoder.deaf = true;
            channel.shutdownOutputAndDrain();
        }
    }

    /** Ends it unless a request has come in this moment. */
    void endIdle() {
        if (!taken()) {
            linger();
        }
    }

    /** Whether something has come that is not read yet, or the client has ended it. */
    private boolean taken() {
        if (channel.isEndOfStream()) {
            channel.close();
            return true;
        }
        decoder.receiving |= channel.hasPeekedByte();
        return channel.hasPeekedByte();
    }

    void sweep(long now) {
        if (decoder.receiving && receivingSince == 0) {
            receivingSince = now;
        }
        if (upload != null && !channel.config().isAutoRead() && now - decoder.readAt > UNTAKEN_NANOS) {
            exchange.onHostStalled();
        } else if (slow(now)) {
            if (skipping) {
                channel.close(); // it has its answer
            } else {
                reject(408);
            }
        } else if (blockedSince != 0 && exchange != null && now - blockedSince > RequestExchange.CLIENT_STALL) {
            channel.close();
        } else if (writingSince != 0 && now - writingSince > RequestExchange.CLIENT_STALL) {
            channel.close();
        } else if (!busy() && now - idleSince > IDLE_NANOS) {
            // Guards against connections that are kept for good and asked nothing: each holds a descriptor.
            endIdle();
        }
    }

    /** Whether what is being received takes too long, by no fault of ours. */
    private boolean slow(long now) {
        if (rejected || paused || receivingSince == 0 || !channel.config().isAutoRead()) {
            return false;
        }
        boolean bodyComes = upload != null || skipping || body != null || head != null;
        if (!bodyComes) {
            return exchange == null && now - receivingSince > SLOW_NANOS;
        }
        // What follows to a host comes as fast as the host takes it; the rest has to come at some rate.
        long most = BODY_NANOS + (long) (received * 1e9 / LEAST_RATE);
        return now - decoder.readAt > SILENT_NANOS || (upload == null && !skipping && now - receivingSince > most);
    }

    @Override
    public boolean wasUsed() {
        return used;
    }
}
