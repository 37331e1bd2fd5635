package rillyard.faultinjection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rillyard.scheduling.EventLoops;

/** One process's way to one host: a listener of its own and the connections on it. All on one event loop. */
final class TcpRelay {
    /** So long (ms) after its port was still held the way attempts to listen again. */
    private static final long AGAIN_MS = 20;

    private final FleetProcess from;
    private final RelayTarget target;
    private final EventLoop loop;
    private final ConnectionFaults faults;
    private final Set<RelayedConnection> pairs = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;

    TcpRelay(FleetProcess from, RelayTarget target, EventLoop loop, ConnectionFaults faults) {
        this.from = from;
        this.target = target;
        this.loop = loop;
        this.faults = faults;
    }

    /** Listens on a free port of the process's own address; throws what the bind throws. Not to be called on the loop. */
    void open(InetAddress own) throws Exception {
        address = new InetSocketAddress(own, 0);
        listener = listen().bind(address).sync().channel();
        address = (InetSocketAddress) listener.localAddress();
        loop.submit(() -> target.add(this)).sync();
    }

    /** Where the process is to call. */
    InetSocketAddress address() {
        return address;
    }

    private ServerBootstrap listen() {
        return new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                });
    }

    ConnectionFaults.Way way() {
        return faults.way(from, target.host, target.zone);
    }

    /** Faults have begun or ended, or the host rejects, or is back. */
    void changed() {
        ConnectionFaults.Way way = way();
        boolean listening = !way.refused() && !target.down();
        if (!listening && listener != null) {
            listener.close();
            listener = null;
        } else if (listening && listener == null) {
            listener = listen().bind(address)
                    .addListener(f -> {
                        if (!f.isSuccess()) { // what closed a moment ago may hold the port still
                            listener = null;
                            loop.schedule(this::changed, AGAIN_MS, TimeUnit.MILLISECONDS);
                        }
                    })
                    .channel();
        }
        for (RelayedConnection connection : Set.copyOf(pairs)) {
            connection.changed(way);
        }
    }

    private void accepted(SocketChannel channel) {
        ConnectionFaults.Way way = way();
        if (way.reset() || way.refused()) {
            RelayedConnection.reset(channel);
            return;
        }
        RelayedConnection pair = new RelayedConnection(channel, this);
        pairs.add(pair);
        if (!way.silent()) {
            connect(pair);
        }
    }

    /** One side of a connection has ended. */
    void closed(RelayedConnection pair) {
        if (pair.over()) {
            pairs.remove(pair);
        }
    }

    /** Calls the host for a connection. */
    void connect(RelayedConnection pair) {
        pair.connecting();
        target.call(address.getAddress()).addListener((ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                pair.connected((SocketChannel) future.channel());
            } else {
                pair.reset();
                target.refused();
            }
        });
    }
}
