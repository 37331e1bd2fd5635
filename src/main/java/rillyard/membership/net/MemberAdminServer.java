package rillyard.membership.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rillyard.admin.AcceptBackoff;

/**
 * Sends the view of a member as one line on each new connection, and closes the connection; reads nothing.
 *
 * <p>Confined to its event loop.
 */
final class MemberAdminServer {
    /** Maximum number of open connections; further ones are closed at once. */
    private static final int MAX_CONNECTIONS = 8;

    /** Milliseconds after which a connection is closed. */
    private static final long CONNECTION_TIMEOUT_MS = 2_500;

    private final Supplier<String> view;
    private final Consumer<String> log;
    private int connections;

    /** Creates a server; {@code view} is called on the event loop, and {@code log} receives log lines there. */
    MemberAdminServer(Supplier<String> view, Consumer<String> log) {
        this.view = view;
        this.log = log;
    }

    /**
     * Listens on an address.
     *
     * @param loop a group of one event loop
     * @return the listening channel
     * @throws IOException if the address can't be bound
     */
    Channel listen(EventLoopGroup loop, InetSocketAddress address) throws IOException {
        try {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .handler(new AcceptBackoff("fleet", log))
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            onAccepted(channel);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel();
        } catch (Exception e) {
            throw new IOException("fleet: can't listen on " + address + " for `members --admin`: " + e.getMessage(), e);
        }
    }

    private void onAccepted(SocketChannel channel) {
        if (connections >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        channel.eventLoop().schedule(() -> channel.close(), CONNECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        // Data that is written before the registration of the channel has completed would be lost.
        channel.eventLoop().execute(() -> sendView(channel));
    }

    private void sendView(SocketChannel channel) {
        ByteBuf line = Unpooled.copiedBuffer(view.get() + "\n", StandardCharsets.UTF_8);
        channel.writeAndFlush(line).addListener(ChannelFutureListener.CLOSE);
    }
}
