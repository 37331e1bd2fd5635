package rillyard.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import rillyard.balancer.Settings;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.upstream.UpstreamPool;

/** The side that faces the application: listens, and knows all of its connections. */
public final class ClientListener {
    private static final int BACKLOG = 1_024;

    private final BalancerDriver driver;
    private final DescriptorBudget descriptors;
    private final BodyMemoryBudget bodyMemory;
    private final ProxyLog log;
    private final int maxOpen;
    private final Map<String, Settings.RequestClass> requestClasses = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private volatile PeekableSocketChannel.Server listener;
    private boolean draining;
    private volatile boolean warmingUp;
    private volatile boolean wasRecentlyReady;
    private long rejectedForMemory;
    private long rejectedForDescriptors;

    public ClientListener(
            BalancerDriver dispatcher,
            ProxyConfig config,
            DescriptorBudget sockets,
            BodyMemoryBudget budget,
            ProxyLog log) {
        this.driver = dispatcher;
        this.descriptors = sockets;
        this.bodyMemory = budget;
        this.log = log;
        this.maxOpen = config.maxOpenRequests();
        for (Settings.RequestClass requestClass : config.settings().classes()) {
            requestClasses.put(requestClass.name(), requestClass);
        }
    }

    /**
     * Listens; throws what the bind throws. Where there is a second address this process may be replaced,
     * and its successor listens on the same one. Not so elsewhere: guards against two proxies that are
     * told the same address by mistake.
     */
    public void listen(EventLoopGroup loop, ProxyConfig config) throws Exception {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (config.adminAddress() != null) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        bootstrap
                .group(loop)
                .channelFactory(() -> new PeekableSocketChannel.Server(driver.stallDetector()))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, UpstreamPool.READ_BUFFER_ALLOCATOR)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamPool.WRITE_BUFFER_WATER_MARK)
                .handler(new ChannelInitializer<PeekableSocketChannel.Server>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel.Server ch) {
                        listener = ch; // before the first accept, which may come ahead of the bind's end
                    }
                })
                .childHandler(new ChannelInitializer<PeekableSocketChannel>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel channel) {
                        accepted(channel);
                    }
                })
                .bind(config.listen())
                .sync();
    }

    public Channel listener() {
        return listener;
    }

    private void accepted(PeekableSocketChannel channel) {
        boolean overflow = !descriptors.hasCapacityForClient();
        ClientRequestDecoder decoder = new ClientRequestDecoder();
        ClientConnection connection = new ClientConnection(this, channel, decoder, overflow);
        descriptors.onClientOpened();
        // The end of the channel's future is the moment its descriptor is free; its handlers hear later.
        channel.closeFuture().addListener(f -> onClosed(connection));
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
        if (descriptors.isExhausted()) {
            // Guards against accepts that fail again and again: the rest waits in the backlog.
            listener.config().setAutoRead(false);
        }
    }

    void onOpened(ClientConnection connection) {
        connections.add(connection);
        descriptors.setClientIdle(connection, true);
    }

    private void onClosed(ClientConnection connection) {
        connections.remove(connection);
        descriptors.onClientClosed(connection);
        if (!descriptors.isExhausted() && listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /**
     * A successor listens: takes what has been let in and lets nobody in any more. The close follows
     * the last accept at once: guards against connections that the kernel let in between the two.
     */
    public void closeListener() {
        PeekableSocketChannel.Server open = listener;
        if (open != null && open.isOpen()) { // null where the end came before it listened
            open.acceptPending();
            open.close();
        }
    }

    /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
    public void drain() {
        draining = true;
        wasRecentlyReady = false;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (!connection.busy()) {
                connection.endIdle();
            }
        }
    }

    /** Answers from now on tell clients to move off; connections that are idle stay for that. */
    public void requestClientMigration() {
        draining = true;
        wasRecentlyReady = false;
    }

    public int openConnections() {
        return connections.size();
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether anything that was taken, or is being taken, has no answer yet. */
    public boolean isBusy() {
        for (ClientConnection connection : connections) {
            if (connection.busy()) {
                return true;
            }
        }
        return false;
    }

    /** Has {@link #isReady} say no for now; requests that come all the same are served. */
    public void setWarmingUp(boolean on) {
        warmingUp = on;
    }

    /** Whether requests would be served. */
    boolean isReady() {
        return !draining && !warmingUp && driver.endpoints().hasSendableHost();
    }

    /** As {@link #isReady}, as of the last moment in which the loop had time; for other threads. */
    public boolean wasRecentlyReady() {
        return wasRecentlyReady;
    }

    public void runMaintenance() {
        wasRecentlyReady = isReady();
        long now = System.nanoTime();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.sweep(now);
        }
    }

    void onRejectedForMemory() {
        log.info("out of memory for bodies: " + ++rejectedForMemory + " requests refused unsent");
    }

    void onRejectedForDescriptors() {
        log.info("out of sockets: " + ++rejectedForDescriptors + " requests refused unsent");
    }

    Settings.RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    BalancerDriver driver() {
        return driver;
    }

    public DescriptorBudget descriptors() {
        return descriptors;
    }

    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    ProxyLog log() {
        return log;
    }

    int maxOpen() {
        return maxOpen;
    }
}
