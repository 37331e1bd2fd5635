package rillyard.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.eventloop.ReadScheduler;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.ConnectionLimits;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.resources.HeaderMemoryAccount;
import rillyard.proxy.resources.HeaderMemoryBudget;
import rillyard.stall.StallDetector;

/**
 * Accepts client connections and keeps track of them.
 *
 * <p>Confined to the event loop, except for the methods whose documentation says otherwise.
 */
public final class ClientListener {
    /** Most connections that the kernel holds until they are accepted. */
    static final int BACKLOG = 1_024;

    /** Receive buffer (bytes) of a connection: what it holds, and a close behind it, are not seen while reading pauses. */
    private static final int RECEIVE_BUFFER_BYTES = 128 * 1024;

    /** Most tries to empty the backlog before it is closed; with their pauses they block the event loop for 10 ms. */
    private static final int MAX_PENDING_ACCEPT_TRIES = 20;

    private static final long PENDING_ACCEPT_RETRY_NANOS = 500_000;

    private final BalancerDriver driver;
    private final DescriptorBudget descriptors;
    private final BodyMemoryBudget bodyMemory;
    private final HeaderMemoryBudget headerMemory;
    private final ProxyLog log;
    private final ReadScheduler readScheduler;
    private final StallDetector stallDetector;
    private final AcceptControl acceptControl;
    private final RequestValidator validator;
    private final RequestDispatcher dispatcher;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private volatile PeekableSocketChannel.Server serverChannel;
    private boolean draining;
    private volatile boolean warmingUp;
    private volatile boolean wasRecentlyReady;

    /**
     * Creates a listener that is not bound yet.
     *
     * @param readScheduler scheduler of the event loop, whose detector computes how long a connection may have waited
     */
    public ClientListener(
            BalancerDriver driver,
            ProxyConfig config,
            DescriptorBudget descriptors,
            BodyMemoryBudget bodyMemory,
            HeaderMemoryBudget headerMemory,
            ProxyLog log,
            ReadScheduler readScheduler) {
        this.driver = driver;
        this.descriptors = descriptors;
        this.bodyMemory = bodyMemory;
        this.headerMemory = headerMemory;
        this.log = log;
        this.readScheduler = readScheduler;
        this.stallDetector = readScheduler.stallDetector();
        this.acceptControl = new AcceptControl(descriptors, stallDetector, log);
        descriptors.onChange(acceptControl::onDescriptorsChanged);
        this.validator = new RequestValidator(config.settings().classes(), driver);
        this.dispatcher = new RequestDispatcher(driver, log, config.maxOpenRequests());
    }

    /**
     * Binds to the configured address.
     *
     * <p>If an admin address is configured, the client address is shared ({@code SO_REUSEPORT}), because a successor
     * process may bind to it while this one still listens. Otherwise it is not shared, so that a second proxy with the
     * same address by mistake fails to start.
     *
     * @throws Exception if the bind fails
     */
    public void listen(EventLoopGroup loop, SocketChannelFactory channels, ProxyConfig config) throws Exception {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (config.adminAddress() != null) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        bootstrap
                .group(loop)
                .channelFactory(() -> channels.newServerChannel(stallDetector))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES) // inherited by accepted sockets
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ConnectionLimits.CLIENT_READ_BUFFER_ALLOCATOR)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionLimits.WRITE_BUFFER_WATER_MARK)
                .handler(new ChannelInitializer<PeekableSocketChannel.Server>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel.Server channel) {
                        serverChannel = channel; // before the first accept, which may precede the end of the bind
                        channel.pipeline().addLast(acceptControl);
                    }
                })
                .childHandler(new ChannelInitializer<PeekableSocketChannel>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel channel) {
                        onAccepted(channel);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        log.error("listener: accepted connection failed", cause);
                        ctx.close();
                    }
                })
                .bind(config.listen())
                .sync();
    }

    /** Returns the bound channel, or null before {@link #listen}. May be called on any thread. */
    public Channel serverChannel() {
        return serverChannel;
    }

    private void onAccepted(PeekableSocketChannel channel) {
        boolean overflow = !descriptors.hasCapacityForClient();
        channel.limitReads(readScheduler);
        PipelineBuffer pipelineBuffer = new PipelineBuffer(bodyMemory);
        HeaderMemoryAccount account = new HeaderMemoryAccount(
                headerMemory,
                () -> channel.pipeline().get(ClientConnection.class).endReception());
        ClientRequestDecoder decoder = new ClientRequestDecoder(pipelineBuffer, account);
        ClientConnection connection = new ClientConnection(this, channel, decoder, pipelineBuffer, overflow);
        descriptors.onClientOpened();
        // The close future completes when the descriptor is free; the handlers are notified later.
        channel.closeFuture().addListener(future -> onClosed(connection));
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
    }

    void onOpened(ClientConnection connection) {
        connections.add(connection);
        descriptors.setClientIdle(connection, true);
    }

    private void onClosed(ClientConnection connection) {
        connections.remove(connection);
        descriptors.onClientClosed(connection);
    }

    /**
     * Accepts the connections in the backlog and closes the server channel.
     *
     * <p>The channel is closed immediately after the last accept, as the kernel may establish connections in between.
     * An accept that fails is retried for some ms first, because the close resets the connections in the backlog.
     */
    public void closeServerChannel() {
        PeekableSocketChannel.Server channel = serverChannel;
        if (channel != null && channel.isOpen()) { // null if the drain began before the bind
            for (int tries = 0; tries < MAX_PENDING_ACCEPT_TRIES && !acceptPending(channel); tries++) {
                LockSupport.parkNanos(PENDING_ACCEPT_RETRY_NANOS);
            }
            channel.close();
        }
    }

    /** Accepts the connections in the backlog; returns whether it is empty then. */
    private boolean acceptPending(PeekableSocketChannel.Server channel) {
        try {
            channel.acceptPending();
            return true;
        } catch (IOException e) {
            acceptControl.onAcceptFailed(e);
            return false;
        }
    }

    /** Starts or continues draining: connections are closed after their next response, and idle ones now. */
    public void drain() {
        requestClientMigration();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            if (!connection.isBusy()) {
                connection.lingeringCloseIfIdle();
            }
        }
    }

    /** From now on closes each connection after its next response; idle connections stay open until then. */
    public void requestClientMigration() {
        draining = true;
        wasRecentlyReady = false;
    }

    /** Returns the number of open client connections. */
    public int openConnections() {
        return connections.size();
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether a request that was received, or is being received, has no response yet. */
    public boolean isBusy() {
        for (ClientConnection connection : connections) {
            if (connection.isBusy()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sets whether the proxy is warming up, and is therefore reported as not ready; requests are served nevertheless.
     * May be called on any thread.
     */
    public void setWarmingUp(boolean isWarmingUp) {
        warmingUp = isWarmingUp;
    }

    /** Returns whether requests would be served. */
    boolean isReady() {
        return !draining && !warmingUp && driver.endpoints().hasSendableHost();
    }

    /**
     * Returns whether requests would have been served at the last {@link #runMaintenance}. May be called on any thread.
     */
    public boolean wasRecentlyReady() {
        return wasRecentlyReady;
    }

    /** Enforces the timeouts of all connections; called a few times a second. */
    public void runMaintenance() {
        wasRecentlyReady = isReady();
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.enforceTimeouts(nowNanos);
        }
    }

    RequestValidator validator() {
        return validator;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the descriptor budget, which client connections share with connections to hosts. */
    public DescriptorBudget descriptors() {
        return descriptors;
    }

    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    ProxyLog log() {
        return log;
    }
}
