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

/**
 * Listens on the second address. It has a thread of its own: guards against calls that wait behind
 * requests while the proxy's loop is behind, which is when people on call ask. One call a connection.
 */
public final class AdminServer implements Closeable {
    /** Connections open at a time; past it the oldest gives way, as it has had the longest time. */
    static final int MOST_OPEN = 16;

    /** How long (ms) a caller may take for a call. */
    private static final long CALL_MS = 2_500;

    private static final int BACKLOG = 64;
    private static final int MAX_BODY = 1_024;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("operator", true), NioIoHandler.newFactory());
    private final ArrayDeque<Channel> open = new ArrayDeque<>();
    private final AdminOperations operations;
    private Channel listener;

    /** One that carries out calls through {@code operations}. */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /**
     * Listens, and returns the address.
     *
     * @throws Exception what the bind throws
     */
    public InetSocketAddress listen(InetSocketAddress at) throws Exception {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                })
                .bind(at)
                .sync()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Runs something on the server's thread again and again, each time after so many ms. */
    public void schedulePeriodically(long millis, Runnable what) {
        group.scheduleWithFixedDelay(what, millis, millis, TimeUnit.MILLISECONDS);
    }

    private void accepted(SocketChannel channel) {
        if (open.size() >= MOST_OPEN) {
            open.poll().close();
        }
        open.add(channel);
        channel.closeFuture().addListener(f -> open.remove(channel));
        channel.eventLoop().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY), new AdminRequestHandler(operations));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
