package rillyard.membership.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Tells whoever connects what this member holds: one line, and the connection ends. It takes nothing in. */
final class MemberAdminServer {
    /** Connections at a time; past it one that comes is ended at once. */
    private static final int MOST_OPEN = 8;

    /** How long (ms) a caller may take to read. */
    private static final long CALL_MS = 2_500;

    private final Supplier<String> view;
    private int open;

    /** {@code view} is asked on the loop. */
    MemberAdminServer(Supplier<String> view) {
        this.view = view;
    }

    /**
     * Listens.
     *
     * @throws IOException if the address can't be bound
     */
    void listen(EventLoopGroup loop, InetSocketAddress at) throws IOException {
        try {
            new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            called(channel);
                        }
                    })
                    .bind(at)
                    .sync();
        } catch (Exception e) {
            throw new IOException("fleet: can't listen on " + at + " for `members --admin`: " + e.getMessage(), e);
        }
    }

    private void called(SocketChannel channel) {
        if (open >= MOST_OPEN) {
            channel.close();
            return;
        }
        open++;
        channel.closeFuture().addListener(f -> open--);
        channel.eventLoop().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
        // Registration is not over yet: what is written now would be lost.
        channel.eventLoop()
                .execute(() -> channel.writeAndFlush(Unpooled.copiedBuffer(view.get() + "\n", StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE));
    }
}
