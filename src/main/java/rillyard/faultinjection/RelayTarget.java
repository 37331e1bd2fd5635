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

/** A host, or discovery, with all ways to it. While it rejects, so do they. All on one event loop. */
final class RelayTarget {
    /** So long (ms) after a target rejected it is called again. One asks for all ways, whatever their number. */
    private static final long LOOK_MS = 50;

    final String host;
    final String zone;
    private final InetSocketAddress at;
    private final EventLoop loop;
    private final List<TcpRelay> links = new ArrayList<>();
    private boolean down;

    RelayTarget(String host, String zone, InetSocketAddress at, EventLoop loop) {
        this.host = host;
        this.zone = zone;
        this.at = at;
        this.loop = loop;
    }

    /** One more way to it; to be called on the loop. */
    void add(TcpRelay link) {
        links.add(link);
    }

    /** Faults have begun or ended. */
    void changed() {
        links.forEach(TcpRelay::changed);
    }

    /** Whether it rejected when it was called last. */
    boolean down() {
        return down;
    }

    /** Calls it from a process's own address, by which discovery knows the process. */
    ChannelFuture call(InetAddress from) {
        return new Bootstrap()
                .group(loop)
                .channel(EventLoops.clientChannelType())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(at, new InetSocketAddress(from, 0));
    }

    /** A call was rejected. */
    void refused() {
        if (!down) {
            down = true;
            changed();
            lookSoon();
        }
    }

    private void lookSoon() {
        if (!loop.isShuttingDown()) {
            loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void look() {
        call(at.getAddress()).addListener((ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                future.channel().close();
                down = false;
                changed();
            } else {
                lookSoon();
            }
        });
    }
}
