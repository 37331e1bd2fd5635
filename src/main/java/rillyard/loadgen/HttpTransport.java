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
 * Sends attempts over HTTP/1.1. Each client keeps its connections alive, sends one attempt at a time on a connection,
 * and opens another if all are busy. Confined to one event loop.
 */
final class HttpTransport implements Transport {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long IDLE_CHECK_INTERVAL_MS = 100;

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
     * Creates a transport without connections.
     *
     * @param targets addresses to send to, at least one
     * @param targetPerClient whether a client's number selects its target; otherwise connections go to the targets in
     *     turn
     * @param idleMillis time in milliseconds after which an idle connection is closed
     * @param verify whether a response must be a test cluster's response to this very request
     * @param onUnexpectedResponse called with the id of the preceding request when data arrives that no request is
     *     waiting for
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
        loop.scheduleAtFixedRate(
                this::closeIdle, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
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
                // A refused connect may fail within send, from which the listener must not be called.
                loop.execute(() -> exchange.end(new AttemptResult(ClientOutcome.UNREACHABLE, 0, 0)));
            }
        });
    }

    /** Called when a connection has become idle and may be reused. */
    void onIdle(HttpConnection connection) {
        idle.computeIfAbsent(connection.client(), k -> new ArrayDeque<>(2)).addLast(connection);
    }

    /** Called when a connection was closed. */
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

    /** Called when data arrived after the response to the request of this id. */
    void onUnexpectedResponse(String id) {
        onUnexpectedResponse.accept(id);
    }

    private void closeIdle() {
        long nowNanos = System.nanoTime();
        for (Iterator<HttpConnection> iterator = new ArrayList<>(open).iterator(); iterator.hasNext(); ) {
            HttpConnection connection = iterator.next();
            if (connection.idleNanos(nowNanos) > idleNanos) {
                connection.close();
            }
        }
    }

    /** Returns the number of open connections. */
    int connections() {
        return open.size();
    }

    /** Returns the number of connects so far, including failed ones. */
    long connectCount() {
        return connectCount;
    }
}
