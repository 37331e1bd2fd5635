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
    private static final long CLOSE_IDLE_EVERY_MS = 100;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final List<InetSocketAddress> targets;
    private final boolean targetPerClient;
    private final long idleNanos;
    private final boolean verify;
    private final java.util.function.Consumer<String> onUnexpectedResponse;
    private final Map<Integer, ArrayDeque<HttpConnection>> idle = new HashMap<>();
    private final Set<HttpConnection> open = new HashSet<>();
    private int nextTarget;
    private long connectCount;

    /**
     * Makes one; to be used on the loop.
     *
     * @param targets where requests go
     * @param targetPerClient whether each client has a target of its own, by its number; else they are taken in turn
     * @param idleMillis a connection that has stood idle for so long is closed
     * @param verify whether an answer must be a test cluster's answer to the very request
     * @param onUnexpectedResponse hears of the id behind whose answer more came
     */
    HttpTransport(
            EventLoop loop,
            List<InetSocketAddress> targets,
            boolean targetPerClient,
            double idleMillis,
            boolean verify,
            java.util.function.Consumer<String> onUnexpectedResponse) {
        this.loop = loop;
        this.targets = targets;
        this.targetPerClient = targetPerClient;
        this.idleNanos = (long) (1e6 * idleMillis);
        this.verify = verify;
        this.onUnexpectedResponse = onUnexpectedResponse;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannelType())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {}
                });
        loop.scheduleAtFixedRate(this::closeIdle, CLOSE_IDLE_EVERY_MS, CLOSE_IDLE_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public PendingAttempt send(OutgoingRequest request, Listener listener) {
        HttpExchange exchange = new HttpExchange(request, listener, verify);
        ArrayDeque<HttpConnection> idleConnections = idle.get(request.client());
        HttpConnection connection;
        while (!request.newConnection()
                && idleConnections != null
                && (connection = idleConnections.pollLast()) != null) {
            if (connection.isUsable()) {
                connection.run(exchange);
                return exchange;
            }
            connection.close();
        }
        connect(exchange);
        return exchange;
    }

    private void connect(HttpExchange exchange) {
        ChannelFuture future = bootstrap.connect(
                targets.get((targetPerClient ? exchange.request().client() : nextTarget++) % targets.size()));
        connectCount++;
        exchange.channel(future.channel());
        future.addListener(completed -> {
            if (exchange.ended()) {
                future.channel().close();
            } else if (future.isSuccess()) {
                HttpConnection connection = new HttpConnection(
                        this,
                        (SocketChannel) future.channel(),
                        exchange.request().client());
                open.add(connection);
                connection.begin();
                connection.run(exchange);
            } else {
                // Never from within send: a rejected connection may be known at once.
                loop.execute(() -> exchange.end(new AttemptResult(ClientOutcome.UNREACHABLE, 0, 0)));
            }
        });
    }

    void onIdle(HttpConnection connection) {
        idle.computeIfAbsent(connection.client(), k -> new ArrayDeque<>(2)).addLast(connection);
    }

    void onClosed(HttpConnection connection) {
        open.remove(connection);
        ArrayDeque<HttpConnection> idleConnections = idle.get(connection.client());
        if (idleConnections != null) {
            idleConnections.remove(connection);
            if (idleConnections.isEmpty()) {
                idle.remove(connection.client());
            }
        }
    }

    void onUnexpectedResponse(String id) {
        onUnexpectedResponse.accept(id);
    }

    private void closeIdle() {
        long now = System.nanoTime();
        for (Iterator<HttpConnection> iterator = new ArrayList<>(open).iterator(); iterator.hasNext(); ) {
            HttpConnection connection = iterator.next();
            if (connection.idleNanos(now) > idleNanos) {
                connection.close();
            }
        }
    }

    /** Connections that are open. */
    int connections() {
        return open.size();
    }

    /** Connections that were opened, or tried to be, so far. */
    long connectCount() {
        return connectCount;
    }
}
