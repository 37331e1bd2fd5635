package rillyard.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rillyard.scheduling.EventLoops;

/**
 * A host or discovery, with all relays to it. While the target refuses connections, its relays do. Confined to the
 * event loop.
 */
final class RelayTarget {
    /** Interval in milliseconds at which a target that refused is retried, once for all of its relays. */
    private static final long RETRY_INTERVAL_MS = 50;

    final String host;
    final String zone;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final List<TcpRelay> relays = new ArrayList<>();
    private boolean down;

    RelayTarget(String host, String zone, InetSocketAddress address, EventLoop loop) {
        this.host = host;
        this.zone = zone;
        this.address = address;
        this.loop = loop;
    }

    /** Adds a relay; must be called on the event loop. */
    void add(TcpRelay relay) {
        relays.add(relay);
    }

    /** Applies a change of the active faults or of the target's availability to all relays. */
    void onChange() {
        relays.forEach(TcpRelay::onChange);
    }

    /** Returns whether the target refused the last connection attempt. */
    boolean isDown() {
        return down;
    }

    /** Connects to the target from a process's own address, by which discovery identifies the process. */
    ChannelFuture connect(InetAddress localAddress) {
        return new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannelType())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address, new InetSocketAddress(localAddress, 0));
    }

    /** Handles a refused connection: the relays refuse connections too, until a retry succeeds. */
    void onRefused() {
        if (!down) {
            down = true;
            onChange();
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        if (!loop.isShuttingDown()) {
            loop.schedule(this::retryConnect, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryConnect() {
        connect(address.getAddress()).addListener((ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                future.channel().close();
                down = false;
                onChange();
            } else {
                scheduleRetry();
            }
        });
    }
}
