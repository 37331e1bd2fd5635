package rillyard.proxy.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.CharsetUtil;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.proxy.TestPeer;

/**
 * Guards against a response that the peer never receives: closing a socket with unread input sends a reset, which
 * discards sent bytes that the peer has not read yet.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PeekableSocketChannelTest {
    @Test
    void sentBytesArriveAlthoughInputIsUnreadAtClose() throws Exception {
        MultiThreadIoEventLoopGroup group = EventLoops.newGroup(NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PeekableSocketChannel channel = (PeekableSocketChannel) new Bootstrap()
                    .group(group)
                    .channelFactory(PeekableSocketChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(server.getLocalSocketAddress())
                    .sync()
                    .channel();
            try (TestPeer peer = new TestPeer(server.accept())) {
                channel.writeAndFlush(Unpooled.copiedBuffer("answer\n", CharsetUtil.US_ASCII))
                        .sync();
                peer.write("a request sent during the close");
                while (channel.eventLoop().submit(channel::hasNothingToRead).get()) {
                    Thread.onSpinWait(); // until the first bytes have arrived; the check consumes one of them
                }
                channel.eventLoop().submit(channel::shutdownOutputAndDrain).sync();
                channel.closeFuture().sync();
                assertThat(peer.readLine()).isEqualTo("answer");
                assertThat(peer.readLine()).isNull(); // a reset throws
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        }
    }
}
