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

/** Relays the connections of one process to one host through a listener of its own. Confined to the event loop. */
final class TcpRelay {
    /** Delay in milliseconds before the listener binds again if its port was still in use. */
    private static final long REBIND_DELAY_MS = 20;

    private final FleetProcess process;
    private final RelayTarget target;
    private final EventLoop loop;
    private final ConnectionFaults faults;
    private final Set<RelayedConnection> connections = new LinkedHashSet<>();
    private InetSocketAddress address;
    private Channel listener;

    TcpRelay(FleetProcess process, RelayTarget target, EventLoop loop, ConnectionFaults faults) {
        this.process = process;
        this.target = target;
        this.loop = loop;
        this.faults = faults;
    }

    /**
     * Starts listening on a free port of the process's address. Must not be called on the event loop.
     *
     * @throws Exception if the bind fails
     */
    void open(InetAddress processAddress) throws Exception {
        address = new InetSocketAddress(processAddress, 0);
        listener = listenerBootstrap().bind(address).sync().channel();
        address = (InetSocketAddress) listener.localAddress();
        loop.submit(() -> target.add(this)).sync();
    }

    /** Returns the address to which the process connects. */
    InetSocketAddress address() {
        return address;
    }

    private ServerBootstrap listenerBootstrap() {
        return new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccepted(channel);
                    }
                });
    }

    /** Returns the effect of the active faults on this relay's connections. */
    ConnectionFaults.Effect effect() {
        return faults.effect(process, target.host, target.zone);
    }

    /** Applies a change of the active faults or of the host's availability to the listener and the connections. */
    void onChange() {
        ConnectionFaults.Effect effect = effect();
        boolean listening = !effect.refused() && !target.isDown();
        if (!listening && listener != null) {
            listener.close();
            listener = null;
        } else if (listening && listener == null) {
            listener = listenerBootstrap()
                    .bind(address)
                    .addListener(future -> {
                        if (!future.isSuccess()) { // a socket closed a moment ago may still hold the port
                            listener = null;
                            loop.schedule(this::onChange, REBIND_DELAY_MS, TimeUnit.MILLISECONDS);
                        }
                    })
                    .channel();
        }
        for (RelayedConnection connection : Set.copyOf(connections)) {
            connection.onChange(effect);
        }
    }

    private void onAccepted(SocketChannel channel) {
        ConnectionFaults.Effect effect = effect();
        if (effect.reset() || effect.refused()) {
            RelayedConnection.reset(channel);
            return;
        }
        RelayedConnection connection = new RelayedConnection(channel, this);
        connections.add(connection);
        if (effect.silent()) {
            connection.onSilent();
        } else {
            connect(connection);
        }
    }

    /** Handles the close of one side of a connection. */
    void onClosed(RelayedConnection connection) {
        if (connection.isClosed()) {
            connections.remove(connection);
        }
    }

    /** Connects a relayed connection to the host; resets it if the host refuses. */
    void connect(RelayedConnection connection) {
        connection.markConnecting();
        target.connect(address.getAddress()).addListener((ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                connection.onConnected((SocketChannel) future.channel());
            } else {
                connection.reset();
                target.onRefused();
            }
        });
    }
}
