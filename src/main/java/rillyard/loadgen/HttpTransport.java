package rillyard.loadgen;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rillyard.requestlog.ClientOutcome;
import rillyard.scheduling.EventLoops;

/**
 * Tries over HTTP/1.1, as the operators' app sends them: one at a time on a connection, which its
 * client keeps; another is opened when all are busy. All on one event loop.
 */
final class HttpTransport implements Transport {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SWEEP_MS = 100;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final List<InetSocketAddress> targets;
    private final boolean own;
    private final long idleNanos;
    private final boolean verify;
    private final java.util.function.Consumer<String> surplus;
    private final Map<Integer, ArrayDeque<HttpConnection>> idle = new HashMap<>();
    private final Set<HttpConnection> open = new HashSet<>();
    private int turn;
    private long opened;

    /**
     * Makes one; to be used on the loop.
     *
     * @param targets where requests go
     * @param own whether each client has a target of its own, by its number; else they are taken in turn
     * @param idleMs a connection that has stood idle for so long is closed
     * @param verify whether an answer must be a stand-in's answer to the very request
     * @param surplus hears of the id behind whose answer more came
     */
    HttpTransport(
            EventLoop loop,
            List<InetSocketAddress> targets,
            boolean own,
            double idleMs,
            boolean verify,
            java.util.function.Consumer<String> surplus) {
        this.loop = loop;
        this.targets = targets;
        this.own = own;
        this.idleNanos = (long) (1e6 * idleMs);
        this.verify = verify;
        this.surplus = surplus;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.connecting())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {}
                });
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public PendingAttempt send(OutgoingRequest t, Listener listener) {
        HttpExchange e = new HttpExchange(t, listener, verify);
        ArrayDeque<HttpConnection> kept = idle.get(t.client());
        HttpConnection c;
        while (!t.fresh() && kept != null && (c = kept.pollLast()) != null) {
            if (c.usable()) {
                c.run(e);
                return e;
            }
            c.close();
        }
        connect(e);
        return e;
    }

    private void connect(HttpExchange e) {
        ChannelFuture f = bootstrap.connect(targets.get((own ? e.request().client() : turn++) % targets.size()));
        opened++;
        e.channel(f.channel());
        f.addListener(x -> {
            if (e.over()) {
                f.channel().close();
            } else if (f.isSuccess()) {
                HttpConnection c = new HttpConnection(
                        this, (SocketChannel) f.channel(), e.request().client());
                open.add(c);
                c.begin();
                c.run(e);
            } else {
                // Never from within send: a refused connection may be known at once.
                loop.execute(() -> e.end(new AttemptResult(ClientOutcome.UNREACHABLE, 0, 0)));
            }
        });
    }

    void idle(HttpConnection c) {
        idle.computeIfAbsent(c.client(), k -> new ArrayDeque<>(2)).addLast(c);
    }

    void closed(HttpConnection c) {
        open.remove(c);
        ArrayDeque<HttpConnection> kept = idle.get(c.client());
        if (kept != null) {
            kept.remove(c);
            if (kept.isEmpty()) {
                idle.remove(c.client());
            }
        }
    }

    void surplus(String id) {
        surplus.accept(id);
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Iterator<HttpConnection> i = new ArrayList<>(open).iterator(); i.hasNext(); ) {
            HttpConnection c = i.next();
            if (c.idleFor(now) > idleNanos) {
                c.close();
            }
        }
    }

    /** Connections that are open. */
    int connections() {
        return open.size();
    }

    /** Connections that were opened, or tried to be, so far. */
    long opened() {
        return opened;
    }
}
