package rillyard.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The HTTP server of the admin endpoint; it serves one request per connection.
 *
 * <p>It has its own thread, so that operators get responses while the proxy's event loop is overloaded.
 */
public final class AdminServer implements Closeable {
    /** Maximum number of open connections; the oldest is closed for a new one, as it has had the longest time. */
    private static final int MAX_CONNECTIONS = 16;

    /** Milliseconds after which a connection is closed. */
    private static final long CONNECTION_TIMEOUT_MS = 2_500;

    private static final int BACKLOG = 64;
    private static final int MAX_BODY_BYTES = 1_024;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("operator", true), NioIoHandler.newFactory());
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();
    private final AdminOperations operations;
    private final Consumer<String> log;
    private Channel serverChannel;

    /** Creates a server that does not listen yet; {@code log} receives its log lines. */
    public AdminServer(AdminOperations operations, Consumer<String> log) {
        this.operations = operations;
        this.log = log;
    }

    /**
     * Listens on an address.
     *
     * @return the bound address
     * @throws Exception if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws Exception {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .handler(new AcceptBackoff("admin", log))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccepted(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Returns the channel that accepts connections; null before {@link #listen}. */
    Channel serverChannel() {
        return serverChannel;
    }

    /** Runs a task periodically on the server's thread, each time {@code periodMillis} after the last run has ended. */
    public void schedulePeriodically(long periodMillis, Runnable task) {
        group.scheduleWithFixedDelay(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    private void onAccepted(SocketChannel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.poll().close();
        }
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        channel.eventLoop().schedule(() -> channel.close(), CONNECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new AdminRequestHandler(operations));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
