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
    private static final long MOST_BODY = 64 << 10;

    /** Notes when the first byte of a request came. */
    static final class FirstByte extends ChannelInboundHandlerAdapter {
        private final HostConnection connection;

        FirstByte(HostConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
            if (connection.firstByte == 0) {
                connection.firstByte = connection.host.timers.now();
            }
            super.channelRead(ctx, msg);
        }
    }

    private final HostServer host;
    private final SocketChannel channel;
    private final boolean turnedAway;
    private final long readyAt;
    private long idleSince;
    private long firstByte;
    private HttpRequest head;
    private CRC32 crc;
    private long length;
    private Exchange exchange;

    /** {@code turnedAway} marks a connection past the host's bound. */
    HostConnection(HostServer host, SocketChannel channel, boolean turnedAway) {
        this.host = host;
        this.channel = channel;
        this.turnedAway = turnedAway;
        this.idleSince = host.timers.now();
        this.readyAt = idleSince + (long) (host.spec.handshakeMs() * 1e6);
    }

    void reading(boolean on) {
        channel.config().setAutoRead(on);
    }

    boolean busy() {
        return head != null || exchange != null;
    }

    void closeIfIdle(long nanos) {
        if (!busy() && firstByte == 0 && host.timers.now() - idleSince >= nanos) {
            channel.close();
        }
    }

    /** The host has died. */
    void kill() {
        if (exchange != null) {
            exchange.killed();
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
            take((HttpObject) msg);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    private void take(HttpObject part) {
        if (!channel.isOpen()) {
            return;
        }
        if (part.decoderResult().isFailure() || (part instanceof HttpRequest && exchange != null)) {
            refuse(400, false, true); // not a request, or a second one before the first is answered
            return;
        }
        if (part instanceof HttpRequest request) {
            head = request;
            crc = new CRC32();
            length = 0;
        }
        if (part instanceof HttpContent content && head != null) {
            ByteBuf buffer = content.content();
            length += buffer.readableBytes();
            if (length > MOST_BODY) {
                refuse(413, false, true);
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
            answer(HostResponse.text(channel.alloc(), 200, ""));
            return;
        }
        if (request.uri().equals("/_load")) {
            String load = host.load();
            answer(
                    load == null
                            ? HostResponse.status(channel.alloc(), 404, false, false)
                            : HostResponse.text(channel.alloc(), 200, load));
            return;
        }
        HttpHeaders headers = request.headers();
        String id = headers.get("X-Request-ID");
        RequestClassSpec spec = host.context().type(type(request.uri()));
        if (id == null || spec == null) {
            refuse(404, false, false);
            return;
        }
        String key = headers.get("Idempotency-Key");
        if (spec.semantics() == RequestClassSpec.Semantics.DEDUPLICATED && key == null) {
            refuse(400, false, false);
            return;
        }
        long now = host.timers.now();
        long until = now + (long) (timeout(headers.get("X-Timeout-Ms"), spec.deadlineMs()) * 1e6);
        exchange =
                new Exchange(new HostRequest(id, key, spec, request.uri(), length, crc.getValue(), firstByte, until));
        if (turnedAway) {
            exchange.turnAway(503, true);
        } else if (now < readyAt) {
            Exchange e = exchange;
            host.timers.scheduleAt(readyAt, e::begin);
        } else {
            exchange.begin();
        }
    }

    /** The first part of a path. */
    static String type(String uri) {
        int to = 1;
        while (to < uri.length() && uri.charAt(to) != '/' && uri.charAt(to) != '?') {
            to++;
        }
        return uri.isEmpty() ? "" : uri.substring(1, to);
    }

    private static double timeout(String text, double otherwise) {
        try {
            return text == null ? otherwise : Math.max(0, Math.min(3_600_000, Long.parseLong(text)));
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private void refuse(int status, boolean unseen, boolean close) {
        head = null;
        var written = channel.writeAndFlush(HostResponse.status(channel.alloc(), status, unseen, close));
        if (close) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            over();
        }
    }

    private void answer(ByteBuf bytes) {
        channel.writeAndFlush(bytes);
        over();
    }

    private void over() {
        exchange = null;
        firstByte = 0;
        idleSince = host.timers.now();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.left();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            host.context().failed(host.spec.id() + ": a connection failed", cause);
        }
        channel.close();
    }

    /** One request, from its last byte to the line in the request log, which it writes exactly once. */
    private final class Exchange {
        private final HostRequest request;
        private final int attempt;
        private final HostQueue.Job job;
        private boolean fresh;
        private boolean hung;
        private boolean over;

        Exchange(HostRequest request) {
            this.request = request;
            this.attempt = host.context().attempt(request.id());
            this.job = new HostQueue.Job(request.spec().work().sample(host.random) * 1e6) {
                @Override
                boolean starts() {
                    return Exchange.this.starts();
                }

                @Override
                void finished() {
                    Exchange.this.finished();
                }
            };
        }

        void begin() {
            if (over) {
                return;
            }
            if (host.faults.applies(HostFault.Kind.ERRORS)) {
                ledger(host.timers.now(), ExecutionResult.ERROR);
                answer(HostResponse.status(channel.alloc(), 500, false, false));
            } else if (request.spec().semantics() != RequestClassSpec.Semantics.DEDUPLICATED) {
                offer();
            } else {
                IdempotencyKeyStore memory = host.context().memory(request.spec(), host.spec);
                switch (memory.seen(request.idempotencyKey(), host.timers.now(), () -> host.loop()
                        .execute(this::begin))) {
                    case NEW -> {
                        fresh = true;
                        offer();
                    }
                    case DONE -> {
                        if (host.faults.applies(HostFault.Kind.HANG)) {
                            hung = true;
                            return;
                        }
                        ledger(0, ExecutionResult.REMEMBERED);
                        answer(HostResponse.good(channel.alloc(), request, host.spec.id(), host.load()));
                    }
                    case RUNNING -> {
                        // the answer of the first one is this one's too
                    }
                }
            }
        }

        private void offer() {
            if (!host.queue.enqueue(job)) {
                turnAway(503, false);
            }
        }

        void turnAway(int status, boolean close) {
            forgetKey();
            ledger(0, ExecutionResult.TURNED_AWAY);
            refuse(status, true, close);
        }

        private boolean starts() {
            if (over) {
                return false;
            }
            if (host.timers.now() >= request.until()) {
                turnAway(504, false); // its client has stopped waiting: it is over, and has not run
                return false;
            }
            return true;
        }

        private void finished() {
            if (fresh) {
                host.context().memory(request.spec(), host.spec).done(request.idempotencyKey());
            }
            if (over) {
                return;
            }
            if (host.faults.applies(HostFault.Kind.HANG)) {
                hung = true; // written down when its connection ends, or the test cluster does
            } else if (host.faults.applies(HostFault.Kind.RESET)) {
                ledger(job.startedAt(), ExecutionResult.RESET);
                ByteBuf whole = HostResponse.good(channel.alloc(), request, host.spec.id(), host.load());
                channel.writeAndFlush(whole.readSlice(whole.readableBytes() / 2))
                        .addListener(f -> reset());
            } else if (host.faults.applies(HostFault.Kind.GARBLE)) {
                ledger(job.startedAt(), ExecutionResult.GARBLED);
                channel.writeAndFlush(HostResponse.spoilt(channel.alloc(), host.random.nextInt()));
            } else {
                ledger(job.startedAt(), ExecutionResult.DONE);
                answer(HostResponse.good(channel.alloc(), request, host.spec.id(), host.load()));
            }
        }

        /** The client has ended the connection. */
        void left() {
            if (host.queue.withdraw(job) || (!job.running() && !hung)) {
                forgetKey();
                ledger(0, ExecutionResult.DROPPED);
            } else {
                ledger(job.startedAt(), hung ? ExecutionResult.HUNG : ExecutionResult.LEFT);
            }
        }

        void killed() {
            if (hung) {
                ledger(job.startedAt(), ExecutionResult.HUNG);
                return;
            }
            boolean ran = job.running();
            forgetKey(); // what a dead host had not finished had no effect that anybody remembers
            ledger(ran ? job.startedAt() : 0, ran ? ExecutionResult.KILLED : ExecutionResult.DROPPED);
        }

        private void forgetKey() {
            if (fresh) {
                fresh = false;
                host.context().memory(request.spec(), host.spec).forget(request.idempotencyKey());
            }
        }

        private void ledger(long startedAt, ExecutionResult result) {
            if (!over) {
                over = true;
                host.ran(request, attempt, startedAt, job.work, result);
            }
        }
    }
}
