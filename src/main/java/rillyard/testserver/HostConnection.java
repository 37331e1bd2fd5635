package rillyard.testserver;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.zip.CRC32;
import rillyard.requestlog.ExecutionResult;

/** One connection to a host: it carries one request at a time. */
final class HostConnection extends ChannelInboundHandlerAdapter {
    /** A body may not be larger; past it the connection ends. */
    private static final long MAX_BODY_BYTES = 64 << 10;

    /** Notes when the first byte of a request came. */
    static final class FirstByte extends ChannelInboundHandlerAdapter {
        private final HostConnection connection;

        FirstByte(HostConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
            if (connection.firstByte == 0) {
                connection.firstByte = connection.host.scheduler.now();
            }
            super.channelRead(ctx, msg);
        }
    }

    private final HostServer host;
    private final SocketChannel channel;
    private final boolean rejected;
    private final long readyAt;
    private long idleSince;
    private long firstByte;
    private HttpRequest head;
    private CRC32 crc;
    private long bodyBytes;
    private Exchange exchange;

    /** {@code turnedAway} marks a connection past the host's bound. */
    HostConnection(HostServer host, SocketChannel channel, boolean rejected) {
        this.host = host;
        this.channel = channel;
        this.rejected = rejected;
        this.idleSince = host.scheduler.now();
        this.readyAt = idleSince + (long) (host.spec.handshakeMillis() * 1e6);
    }

    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    boolean isBusy() {
        return head != null || exchange != null;
    }

    void closeIfIdle(long nanos) {
        if (!isBusy() && firstByte == 0 && host.scheduler.now() - idleSince >= nanos) {
            channel.close();
        }
    }

    /** The host has died. */
    void kill() {
        if (exchange != null) {
            exchange.onKilled();
        }
        reset();
    }

    private void reset() {
        channel.config().setSoLinger(0);
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            onPart((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void onPart(HttpObject part) {
        if (!channel.isOpen()) {
            return;
        }
        if (part.decoderResult().isFailure() || (part instanceof HttpRequest && exchange != null)) {
            reject(400, false, true); // not a request, or a second one before the first is answered
            return;
        }
        if (part instanceof HttpRequest request) {
            head = request;
            crc = new CRC32();
            bodyBytes = 0;
        }
        if (part instanceof HttpContent content && head != null) {
            ByteBuf buffer = content.content();
            bodyBytes += buffer.readableBytes();
            if (bodyBytes > MAX_BODY_BYTES) {
                reject(413, false, true);
                return;
            }
            crc.update(buffer.nioBuffer());
            if (part instanceof LastHttpContent) {
                complete();
            }
        }
    }

    private void complete() {
        HttpRequest request = head;
        head = null;
        if (request.uri().equals("/ping")) {
            respond(HostResponse.text(channel.alloc(), 200, ""));
            return;
        }
        if (request.uri().equals("/_load")) {
            String load = host.loadReport();
            respond(
                    load == null
                            ? HostResponse.status(channel.alloc(), 404, false, false)
                            : HostResponse.text(channel.alloc(), 200, load));
            return;
        }
        HttpHeaders headers = request.headers();
        String id = headers.get("X-Request-ID");
        RequestClassSpec spec = host.context().requestClass(className(request.uri()));
        if (id == null || spec == null) {
            reject(404, false, false);
            return;
        }
        String key = headers.get("Idempotency-Key");
        if (spec.semantics() == RequestClassSpec.Semantics.DEDUPLICATED && key == null) {
            reject(400, false, false);
            return;
        }
        long now = host.scheduler.now();
        long deadline = now + (long) (timeout(headers.get("X-Timeout-Ms"), spec.deadlineMillis()) * 1e6);
        exchange = new Exchange(
                new HostRequest(id, key, spec, request.uri(), bodyBytes, crc.getValue(), firstByte, deadline));
        if (rejected) {
            exchange.rejectRequest(503, true);
        } else if (now < readyAt) {
            Exchange pending = exchange;
            host.scheduler.scheduleAt(readyAt, pending::begin);
        } else {
            exchange.begin();
        }
    }

    /** The first part of a path. */
    static String className(String uri) {
        int to = 1;
        while (to < uri.length() && uri.charAt(to) != '/' && uri.charAt(to) != '?') {
            to++;
        }
        return uri.isEmpty() ? "" : uri.substring(1, to);
    }

    private static double timeout(String text, double defaultMillis) {
        try {
            return text == null ? defaultMillis : Math.max(0, Math.min(3_600_000, Long.parseLong(text)));
        } catch (NumberFormatException e) {
            return defaultMillis;
        }
    }

    private void reject(int status, boolean notProcessed, boolean close) {
        head = null;
        var written = channel.writeAndFlush(HostResponse.status(channel.alloc(), status, notProcessed, close));
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            onExchangeEnded();
        }
    }

    private void respond(ByteBuf bytes) {
        channel.writeAndFlush(bytes);
        onExchangeEnded();
    }

    private void onExchangeEnded() {
        exchange = null;
        firstByte = 0;
        idleSince = host.scheduler.now();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.onClientLeft();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            host.context().onFailure(host.spec.id() + ": a connection failed", cause);
        }
        channel.close();
    }

    /** One request, from its last byte to the line in the request log, which it writes exactly once. */
    private final class Exchange {
        private final HostRequest request;
        private final int attempt;
        private final HostQueue.Job job;
        private boolean ownsKey;
        private boolean unresponsive;
        private boolean logged;

        Exchange(HostRequest request) {
            this.request = request;
            this.attempt = host.context().nextAttemptNumber(request.id());
            this.job = new HostQueue.Job(request.spec().serviceTime().sample(host.random) * 1e6) {
                @Override
                boolean mayStart() {
                    return Exchange.this.mayStart();
                }

                @Override
                void onFinished() {
                    Exchange.this.onFinished();
                }
            };
        }

        void begin() {
            if (logged) {
                return;
            }
            if (host.faults.applies(HostFault.Kind.ERRORS)) {
                log(host.scheduler.now(), ExecutionResult.ERROR);
                respond(HostResponse.status(channel.alloc(), 500, false, false));
            } else if (request.spec().semantics() != RequestClassSpec.Semantics.DEDUPLICATED) {
                offer();
            } else {
                IdempotencyKeyStore keyStore = host.context().idempotencyKeys(request.spec(), host.spec);
                switch (keyStore.register(request.idempotencyKey(), host.scheduler.now(), () -> host.loop()
                        .execute(this::begin))) {
                    case NEW -> {
                        ownsKey = true;
                        offer();
                    }
                    case DONE -> {
                        if (host.faults.applies(HostFault.Kind.HANG)) {
                            unresponsive = true;
                            return;
                        }
                        log(0, ExecutionResult.REMEMBERED);
                        respond(HostResponse.success(channel.alloc(), request, host.spec.id(), host.loadReport()));
                    }
                    case RUNNING -> {
                        // the answer of the first one is this one's too
                    }
                }
            }
        }

        private void offer() {
            if (!host.queue.enqueue(job)) {
                rejectRequest(503, false);
            }
        }

        void rejectRequest(int status, boolean close) {
            forgetKey();
            log(0, ExecutionResult.TURNED_AWAY);
            reject(status, true, close);
        }

        private boolean mayStart() {
            if (logged) {
                return false;
            }
            if (host.scheduler.now() >= request.deadline()) {
                rejectRequest(504, false); // its client has stopped waiting: it is over, and has not run
                return false;
            }
            return true;
        }

        private void onFinished() {
            if (ownsKey) {
                host.context().idempotencyKeys(request.spec(), host.spec).markDone(request.idempotencyKey());
            }
            if (logged) {
                return;
            }
            if (host.faults.applies(HostFault.Kind.HANG)) {
                unresponsive = true; // written down when its connection ends, or the test cluster does
            } else if (host.faults.applies(HostFault.Kind.RESET)) {
                log(job.startedAt(), ExecutionResult.RESET);
                ByteBuf response = HostResponse.success(channel.alloc(), request, host.spec.id(), host.loadReport());
                channel.writeAndFlush(response.readSlice(response.readableBytes() / 2))
                        .addListener(f -> reset());
            } else if (host.faults.applies(HostFault.Kind.GARBLE)) {
                log(job.startedAt(), ExecutionResult.GARBLED);
                channel.writeAndFlush(HostResponse.malformed(channel.alloc(), host.random.nextInt()));
            } else {
                log(job.startedAt(), ExecutionResult.DONE);
                respond(HostResponse.success(channel.alloc(), request, host.spec.id(), host.loadReport()));
            }
        }

        /** The client has ended the connection. */
        void onClientLeft() {
            if (host.queue.withdraw(job) || (!job.isRunning() && !unresponsive)) {
                forgetKey();
                log(0, ExecutionResult.DROPPED);
            } else {
                log(job.startedAt(), unresponsive ? ExecutionResult.HUNG : ExecutionResult.LEFT);
            }
        }

        void onKilled() {
            if (unresponsive) {
                log(job.startedAt(), ExecutionResult.HUNG);
                return;
            }
            boolean wasRunning = job.isRunning();
            forgetKey(); // what a dead host had not finished had no effect that anybody remembers
            log(wasRunning ? job.startedAt() : 0, wasRunning ? ExecutionResult.KILLED : ExecutionResult.DROPPED);
        }

        private void forgetKey() {
            if (ownsKey) {
                ownsKey = false;
                host.context().idempotencyKeys(request.spec(), host.spec).forget(request.idempotencyKey());
            }
        }

        private void log(long startedAt, ExecutionResult result) {
            if (!logged) {
                logged = true;
                host.logExecution(request, attempt, startedAt, job.workNanos, result);
            }
        }
    }
}
