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

    private final BalancerDriver dispatcher;
    private final DescriptorBudget sockets;
    private final BodyMemoryBudget budget;
    private final ProxyLog log;
    private final int maxOpen;
    private final Map<String, Settings.RequestClass> types = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private volatile PeekableSocketChannel.Server listener;
    private boolean draining;
    private volatile boolean warming;
    private volatile boolean readyAsOfLate;
    private long refusedForMemory;
    private long refusedForSockets;

    public ClientListener(
            BalancerDriver dispatcher,
            ProxyConfig config,
            DescriptorBudget sockets,
            BodyMemoryBudget budget,
            ProxyLog log) {
        this.dispatcher = dispatcher;
        this.sockets = sockets;
        this.budget = budget;
        this.log = log;
        this.maxOpen = config.maxOpen();
        for (Settings.RequestClass requestClass : config.settings().classes()) {
            types.put(requestClass.name(), requestClass);
        }
    }

    /**
     * Listens; throws what the bind throws. Where there is a second address this process may be replaced,
     * and its successor listens on the same one. Not so elsewhere: guards against two proxies that are
     * told the same address by mistake.
     */
    public void listen(EventLoopGroup loop, ProxyConfig config) throws Exception {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (config.operator() != null) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        bootstrap
                .group(loop)
                .channelFactory(() -> new PeekableSocketChannel.Server(dispatcher.gaps()))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, UpstreamPool.READS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UpstreamPool.MARKS)
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
        boolean overflow = !sockets.roomForClient();
        ClientRequestDecoder decoder = new ClientRequestDecoder();
        ClientConnection connection = new ClientConnection(this, channel, decoder, overflow);
        sockets.clientOpened();
        // The end of the channel's future is the moment its descriptor is free; its handlers hear later.
        channel.closeFuture().addListener(f -> closed(connection));
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
        if (sockets.exhausted()) {
            // Guards against accepts that fail again and again: the rest waits in the backlog.
            listener.config().setAutoRead(false);
        }
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        sockets.clientIdle(connection, true);
    }

    private void closed(ClientConnection connection) {
        connections.remove(connection);
        sockets.clientClosed(connection);
        if (!sockets.exhausted() && listener.isOpen()) {
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
            open.acceptRest();
            open.close();
        }
    }

    /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
    public void drain() {
        draining = true;
        readyAsOfLate = false;
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (!connection.busy()) {
                connection.endIdle();
            }
        }
    }

    /** Answers from now on tell clients to move off; connections that are idle stay for that. */
    public void moveOff() {
        draining = true;
        readyAsOfLate = false;
    }

    public int open() {
        return connections.size();
    }

    boolean draining() {
        return draining;
    }

    /** Whether anything that was taken, or is being taken, has no answer yet. */
    public boolean busy() {
        for (ClientConnection connection : connections) {
            if (connection.busy()) {
                return true;
            }
        }
        return false;
    }

    /** Has {@link #ready} say no for now; requests that come all the same are served. */
    public void warming(boolean on) {
        warming = on;
    }

    /** Whether requests would be served. */
    boolean ready() {
        return !draining && !warming && dispatcher.hosts().anySendable();
    }

    /** As {@link #ready}, as of the last moment in which the loop had time; for other threads. */
    public boolean readyAsOfLate() {
        return readyAsOfLate;
    }

    public void sweep() {
        readyAsOfLate = ready();
        long now = System.nanoTime();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.sweep(now);
        }
    }

    void refusedForMemory() {
        log.line("out of memory for bodies: " + ++refusedForMemory + " requests refused unsent");
    }

    void refusedForSockets() {
        log.line("out of sockets: " + ++refusedForSockets + " requests refused unsent");
    }

    Settings.RequestClass type(String name) {
        return types.get(name);
    }

    BalancerDriver dispatcher() {
        return dispatcher;
    }

    public DescriptorBudget sockets() {
        return sockets;
    }

    BodyMemoryBudget budget() {
        return budget;
    }

    ProxyLog log() {
        return log;
    }

    int maxOpen() {
        return maxOpen;
    }
}
