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
 * Relays datagrams between the processes of a fault-injection run. Each process has one relay socket, which is its
 * advertised address. The sender is identified by its source address, and the datagram is forwarded from the sender's
 * relay socket, so that the receiver sees the advertised address. The faults are confined to the event loop.
 */
final class DatagramNetwork implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relays", true), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final DatagramFaults faults;
    private final List<FleetProcess> members;
    private final List<InetSocketAddress> processAddresses;
    private final Map<InetSocketAddress, FleetProcess> bySource = new HashMap<>();
    private final Channel[] sockets;

    /**
     * Opens a relay socket for each process.
     *
     * @param processAddresses the addresses on which the processes listen, in the order of {@code members}
     * @throws IOException if a socket can't be opened
     */
    DatagramNetwork(List<FleetProcess> members, List<InetSocketAddress> processAddresses, DatagramFaults faults)
            throws IOException {
        this.members = members;
        this.processAddresses = processAddresses;
        this.faults = faults;
        this.sockets = new Channel[members.size()];
        try {
            for (FleetProcess process : members) {
                bySource.put(processAddresses.get(process.index()), process);
                sockets[process.index()] = new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Forwarder(process))
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .sync()
                        .channel();
            }
        } catch (Exception e) {
            close();
            throw new IOException("a relay's socket can't be had: " + e, e);
        }
    }

    /** Returns the advertised address of a process: its relay socket. */
    InetSocketAddress address(FleetProcess process) {
        return (InetSocketAddress) sockets[process.index()].localAddress();
    }

    /** Activates a fault; may be called by any thread. */
    void begin(InjectedFault fault) {
        loop.execute(() -> faults.begin(fault));
    }

    /** Deactivates a fault; may be called by any thread. */
    void end(InjectedFault fault) {
        loop.execute(() -> faults.end(fault));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Forwards the datagrams that arrive at one process's relay socket, as the active faults allow. */
    private final class Forwarder extends SimpleChannelInboundHandler<DatagramPacket> {
        private final FleetProcess receiver;

        Forwarder(FleetProcess receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            FleetProcess sender = bySource.get(packet.sender());
            if (sender == null || !members.contains(sender)) {
                return; // not sent by a process of this run
            }
            for (double delayMs : faults.copyDelays(sender, receiver)) {
                DatagramPacket copy = new DatagramPacket(
                        packet.content().retainedDuplicate(), processAddresses.get(receiver.index()));
                Channel socket = sockets[sender.index()];
                if (delayMs < 0.5) {
                    socket.writeAndFlush(copy, socket.voidPromise());
                } else {
                    loop.schedule(
                            () -> socket.writeAndFlush(copy, socket.voidPromise()),
                            (long) (delayMs * 1_000),
                            TimeUnit.MICROSECONDS);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The receiver has ended and the kernel reports its port as unreachable: the datagram is lost.
        }
    }
}
