package rillyard.proxy;

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

/** The side that faces the application: listens, and knows all of its connections. */
final class Front {
    private static final int BACKLOG = 1_024;

    private final Dispatcher dispatcher;
    private final Sockets sockets;
    private final BodyBudget budget;
    private final Log log;
    private final int maxOpen;
    private final Map<String, Settings.RequestClass> types = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private volatile QuietChannel.Server listener;
    private boolean draining;
    private volatile boolean warming;
    private volatile boolean readyAsOfLate;
    private long refusedForMemory;
    private long refusedForSockets;

    Front(Dispatcher dispatcher, Config config, Sockets sockets, BodyBudget budget, Log log) {
        this.dispatcher = dispatcher;
        this.sockets = sockets;
        this.budget = budget;
        this.log = log;
        this.maxOpen = config.maxOpen();
        for (Settings.RequestClass c : config.settings().classes()) {
            types.put(c.name(), c);
        }
    }

    /**
     * Listens; throws what the bind throws. Where there is a second address this process may be replaced,
     * and its successor listens on the same one. Not so elsewhere: guards against two proxies that are
     * told the same address by mistake.
     */
    void listen(EventLoopGroup loop, Config config) throws Exception {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (config.operator() != null) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        bootstrap
                .group(loop)
                .channelFactory(() -> new QuietChannel.Server(dispatcher.gaps()))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Upstreams.READS)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Upstreams.MARKS)
                .handler(new ChannelInitializer<QuietChannel.Server>() {
                    @Override
                    protected void initChannel(QuietChannel.Server ch) {
                        listener = ch; // before the first accept, which may come ahead of the bind's end
                    }
                })
                .childHandler(new ChannelInitializer<QuietChannel>() {
                    @Override
                    protected void initChannel(QuietChannel ch) {
                        accepted(ch);
                    }
                })
                .bind(config.listen())
                .sync();
    }

    Channel listener() {
        return listener;
    }

    private void accepted(QuietChannel ch) {
        boolean overflow = !sockets.roomForClient();
        ClientDecoder decoder = new ClientDecoder();
        ClientConnection c = new ClientConnection(this, ch, decoder, overflow);
        sockets.clientOpened();
        // The end of the channel's future is the moment its descriptor is free; its handlers hear later.
        ch.closeFuture().addListener(f -> closed(c));
        ch.pipeline().addLast(decoder, new HttpResponseEncoder(), c);
        if (sockets.exhausted()) {
            // Guards against accepts that fail again and again: the rest waits in the backlog.
            listener.config().setAutoRead(false);
        }
    }

    void opened(ClientConnection c) {
        connections.add(c);
        sockets.clientIdle(c, true);
    }

    private void closed(ClientConnection c) {
        connections.remove(c);
        sockets.clientClosed(c);
        if (!sockets.exhausted() && listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /**
     * A successor listens: takes what has been let in and lets nobody in any more. The close follows
     * the last accept at once: guards against connections that the kernel let in between the two.
     */
    void closeListener() {
        QuietChannel.Server open = listener;
        if (open != null && open.isOpen()) { // null where the end came before it listened
            open.acceptRest();
            open.close();
        }
    }

    /** The client proxy goes: answers tell clients to move off, and idle connections are closed. */
    void drain() {
        draining = true;
        readyAsOfLate = false;
        for (ClientConnection c : new ArrayList<>(connections)) {
            if (!c.busy()) {
                c.endIdle();
            }
        }
    }

    /** Answers from now on tell clients to move off; connections that are idle stay for that. */
    void moveOff() {
        draining = true;
        readyAsOfLate = false;
    }

    int open() {
        return connections.size();
    }

    boolean draining() {
        return draining;
    }

    /** Whether anything that was taken, or is being taken, has no answer yet. */
    boolean busy() {
        for (ClientConnection c : connections) {
            if (c.busy()) {
                return true;
            }
        }
        return false;
    }

    /** Has {@link #ready} say no for now; requests that come all the same are served. */
    void warming(boolean on) {
        warming = on;
    }

    /** Whether requests would be served. */
    boolean ready() {
        return !draining && !warming && dispatcher.hosts().anySendable();
    }

    /** As {@link #ready}, as of the last moment in which the loop had time; for other threads. */
    boolean readyAsOfLate() {
        return readyAsOfLate;
    }

    void sweep() {
        readyAsOfLate = ready();
        long now = System.nanoTime();
        for (ClientConnection c : new ArrayList<>(connections)) {
            c.sweep(now);
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

    Dispatcher dispatcher() {
        return dispatcher;
    }

    Sockets sockets() {
        return sockets;
    }

    BodyBudget budget() {
        return budget;
    }

    Log log() {
        return log;
    }

    int maxOpen() {
        return maxOpen;
    }
}
