package rillyard.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The network between the processes of a fault-injection run: one socket for each, its public address. It knows who sends
 * by the source, and passes on from the sender's own socket, so that the receiver sees the public address.
 */
final class DatagramNetwork implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relays", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final DatagramFaults faults;
    private final List<FleetProcess> members;
    private final List<InetSocketAddress> own;
    private final Map<InetSocketAddress, FleetProcess> bySource = new HashMap<>();
    private final Channel[] sockets;

    /**
     * Opens them.
     *
     * @param own where the processes themselves listen, in the order of {@code members}
     * @throws IOException if a socket can't be had
     */
    DatagramNetwork(List<FleetProcess> members, List<InetSocketAddress> own, DatagramFaults faults) throws IOException {
        this.members = members;
        this.own = own;
        this.faults = faults;
        this.sockets = new Channel[members.size()];
        try {
            for (FleetProcess process : members) {
                bySource.put(own.get(process.index()), process);
                sockets[process.index()] = new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Passing(process))
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .sync()
                        .channel();
            }
        } catch (Exception e) {
            close();
            throw new IOException("a relay's socket can't be had: " + e, e);
        }
    }

    /** Where the others reach this one. */
    InetSocketAddress address(FleetProcess process) {
        return (InetSocketAddress) sockets[process.index()].localAddress();
    }

    void begin(InjectedFault fault) {
        loop.execute(() -> faults.begin(fault));
    }

    void end(InjectedFault fault) {
        loop.execute(() -> faults.end(fault));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private final class Passing extends SimpleChannelInboundHandler<DatagramPacket> {
        private final FleetProcess to;

        Passing(FleetProcess to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            FleetProcess from = bySource.get(packet.sender());
            if (from == null || !members.contains(from)) {
                return; // no process of this trial
            }
            for (double held : faults.copies(from, to)) {
                DatagramPacket copy = new DatagramPacket(packet.content().retainedDuplicate(), own.get(to.index()));
                Channel out = sockets[from.index()];
                if (held < 0.5) {
                    out.writeAndFlush(copy, out.voidPromise());
                } else {
                    loop.schedule(
                            () -> out.writeAndFlush(copy, out.voidPromise()),
                            (long) (held * 1_000),
                            TimeUnit.MICROSECONDS);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The process is gone, and its port answers so: the datagram is lost.
        }
    }
}
