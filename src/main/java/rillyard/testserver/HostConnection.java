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

/**
 * The host's side of one connection: decodes requests, one at a time, and runs each as an {@link Exchange}. Confined
 * to the host's event loop.
 */
final class HostConnection extends ChannelInboundHandlerAdapter {
    /** Largest request body; a larger one gets 413 and the connection is closed. */
    private static final long MAX_BODY_BYTES = 64 << 10;

    /**
     * Records when the first byte of a request arrived. It precedes the HTTP decoder in the pipeline, which would
     * hide it.
     */
    static final class FirstByte extends ChannelInboundHandlerAdapter {
        private final HostConnection connection;

        FirstByte(HostConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
            if (connection.firstByteAtNanos == 0) {
                connection.firstByteAtNanos = connection.host.scheduler.now();
            }
            super.channelRead(ctx, msg);
        }
    }

    private final HostServer host;
    private final SocketChannel channel;
    private final boolean rejected;
    private final long readyAtNanos;
    private long idleSinceNanos;
    private long firstByteAtNanos;
    private HttpRequest head;
    private CRC32 crc;
    private long bodyBytes;
    private Exchange exchange;

    /**
     * Creates the handler of an accepted connection.
     *
     * @param rejected whether the connection exceeds the host's limit, so that its requests are rejected
     */
    HostConnection(HostServer host, SocketChannel channel, boolean rejected) {
        this.host = host;
        this.channel = channel;
        this.rejected = rejected;
        this.idleSinceNanos = host.scheduler.now();
        this.readyAtNanos = idleSinceNanos + (long) (host.spec.handshakeMillis() * 1e6);
    }

    /** Enables or disables reading from the socket; a paused host does not read. */
    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Returns whether a request is being received or handled. */
    boolean isBusy() {
        return head != null || exchange != null;
    }

    /** Closes the connection if it has been idle for at least {@code nanos} nanoseconds. */
    void closeIfIdle(long nanos) {
        if (!isBusy() && firstByteAtNanos == 0 && host.scheduler.now() - idleSinceNanos >= nanos) {
            channel.close();
        }
    }

    /** Resets the connection because its host has stopped, and logs the outcome of its request. */
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
            reject(400, false, true); // malformed, or pipelined before the response to the first request
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
        long nowNanos = host.scheduler.now();
        long deadlineNanos = nowNanos + (long) (timeout(headers.get("X-Timeout-Ms"), spec.deadlineMillis()) * 1e6);
        exchange = new Exchange(new HostRequest(
                id, key, spec, request.uri(), bodyBytes, crc.getValue(), firstByteAtNanos, deadlineNanos));
        if (rejected) {
            exchange.rejectRequest(503, true);
        } else if (nowNanos < readyAtNanos) {
            Exchange pending = exchange;
            host.scheduler.scheduleAt(readyAtNanos, pending::begin);
        } else {
            exchange.begin();
        }
    }

    /** Returns the first segment of a path, which names the request's class; empty for an empty path. */
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
        firstByteAtNanos = 0;
        idleSinceNanos = host.scheduler.now();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.onClientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            host.context().onFailure(host.spec.id() + ": a connection failed", cause);
        }
        channel.close();
    }

    /** Handles one request from its last byte to its record in the request log, which is written exactly once. */
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
            this.job = new HostQueue.Job(request.spec().serviceTime().sampleMillis(host.random) * 1e6) {
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

        /**
         * Handles the request once the connection's handshake is over. A request whose key is already running calls
         * this again when the first one has completed.
         */
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
                        // the response follows when the first request of this key has completed
                    }
                }
            }
        }

        private void offer() {
            if (!host.queue.enqueue(job)) {
                rejectRequest(503, false);
            }
        }

        /**
         * Rejects the request as not processed and logs it.
         *
         * @param close whether to close the connection after the response
         */
        void rejectRequest(int status, boolean close) {
            forgetKey();
            log(0, ExecutionResult.TURNED_AWAY);
            reject(status, true, close);
        }

        private boolean mayStart() {
            if (logged) {
                return false;
            }
            if (host.scheduler.now() >= request.deadlineNanos()) {
                rejectRequest(504, false); // the client's deadline has passed, so running it would waste a core
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
                unresponsive = true; // logged when its connection is closed or the cluster stops
            } else if (host.faults.applies(HostFault.Kind.RESET)) {
                log(job.startedAtNanos(), ExecutionResult.RESET);
                ByteBuf response = HostResponse.success(channel.alloc(), request, host.spec.id(), host.loadReport());
                channel.writeAndFlush(response.readSlice(response.readableBytes() / 2))
                        .addListener(f -> reset());
            } else if (host.faults.applies(HostFault.Kind.GARBLE)) {
                log(job.startedAtNanos(), ExecutionResult.GARBLED);
                channel.writeAndFlush(HostResponse.malformed(channel.alloc(), host.random.nextInt()));
            } else {
                log(job.startedAtNanos(), ExecutionResult.DONE);
                respond(HostResponse.success(channel.alloc(), request, host.spec.id(), host.loadReport()));
            }
        }

        /** Logs the request after its client closed the connection. */
        void onClientDisconnected() {
            if (host.queue.withdraw(job) || (!job.isRunning() && !unresponsive)) {
                forgetKey();
                log(0, ExecutionResult.DROPPED);
            } else {
                log(job.startedAtNanos(), unresponsive ? ExecutionResult.HUNG : ExecutionResult.LEFT);
            }
        }

        /** Logs the request after its host has stopped. */
        void onKilled() {
            if (unresponsive) {
                log(job.startedAtNanos(), ExecutionResult.HUNG);
                return;
            }
            boolean wasRunning = job.isRunning();
            forgetKey(); // unfinished work of a stopped host has no effect: its key counts as new again
            log(wasRunning ? job.startedAtNanos() : 0, wasRunning ? ExecutionResult.KILLED : ExecutionResult.DROPPED);
        }

        private void forgetKey() {
            if (ownsKey) {
                ownsKey = false;
                host.context().idempotencyKeys(request.spec(), host.spec).forget(request.idempotencyKey());
            }
        }

        private void log(long startedAtNanos, ExecutionResult result) {
            if (!logged) {
                logged = true;
                host.logExecution(request, attempt, startedAtNanos, job.workNanos, result);
            }
        }
    }
}
