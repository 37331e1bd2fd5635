package rillyard.trial;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rillyard.timing.Loops;

/** One process's way to one host: a listener of its own and the connections on it. All on one event loop. */
final class HostLink {
  /** So long (ms) after a host refused its way listens again, to see whether the host does. */
  private static final long LOOK_MS = 50;

  private final TrialMember from;
  private final String host;
  private final String zone;
  private final InetSocketAddress target;
  private final EventLoop loop;
  private final HostLinks faults;
  private final Set<LinkedPair> pairs = new LinkedHashSet<>();
  private InetSocketAddress address;
  private Channel listener;
  private boolean targetDown;

  HostLink(TrialMember from, String host, String zone, InetSocketAddress target, EventLoop loop, HostLinks faults) {
    this.from = from;
    this.host = host;
    this.zone = zone;
    this.target = target;
    this.loop = loop;
    this.faults = faults;
  }

  /** Listens on a free port of the process's own address; throws what the bind throws. Not to be called on the loop. */
  void open(InetAddress own) throws Exception {
    address = new InetSocketAddress(own, 0);
    listener = listen().bind(address).sync().channel();
    address = (InetSocketAddress) listener.localAddress();
  }

  /** Where the process is to call. */
  InetSocketAddress address() {
    return address;
  }

  private ServerBootstrap listen() {
    return new ServerBootstrap().group(loop).channel(Loops.listening())
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel ch) {
            accepted(ch);
          }
        });
  }

  HostLinks.Way way() {
    return faults.way(from, host, zone);
  }

  /** Faults have begun or ended. */
  void changed() {
    HostLinks.Way way = way();
    boolean listening = !way.refused() && !targetDown;
    if (!listening && listener != null) {
      listener.close();
      listener = null;
    } else if (listening && listener == null) {
      listener = listen().bind(address).addListener(f -> {
        if (!f.isSuccess()) { // what closed a moment ago may hold the port still
          listener = null;
          loop.schedule(this::changed, LOOK_MS, TimeUnit.MILLISECONDS);
        }
      }).channel();
    }
    for (LinkedPair p : Set.copyOf(pairs)) {
      p.changed(way);
    }
  }

  private void accepted(SocketChannel ch) {
    HostLinks.Way way = way();
    if (way.reset() || way.refused()) {
      LinkedPair.reset(ch);
      return;
    }
    LinkedPair pair = new LinkedPair(ch, this);
    pairs.add(pair);
    if (!way.silent()) {
      connect(pair);
    }
  }

  /** One side of a connection has ended. */
  void closed(LinkedPair pair) {
    if (pair.over()) {
      pairs.remove(pair);
    }
  }

  /** Calls the host for a connection; from the process's own address, by which discovery knows it. */
  void connect(LinkedPair pair) {
    pair.connecting();
    new Bootstrap().group(loop).channel(Loops.connecting())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel ch) {}
        })
        .connect(target, new InetSocketAddress(address.getAddress(), 0))
        .addListener((io.netty.channel.ChannelFutureListener) f -> {
          if (f.isSuccess()) {
            pair.connected((SocketChannel) f.channel());
          } else {
            pair.reset();
            targetDown();
          }
        });
  }

  /** The host refuses: so does the way to it, until the host is back. */
  private void targetDown() {
    if (!targetDown) {
      targetDown = true;
      changed();
      loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void look() {
    new Bootstrap().group(loop).channel(Loops.connecting())
        .handler(new ChannelInitializer<SocketChannel>() {
          @Override
          protected void initChannel(SocketChannel ch) {}
        })
        .connect(target).addListener((io.netty.channel.ChannelFutureListener) f -> {
          if (f.isSuccess()) {
            f.channel().close();
            targetDown = false;
            changed();
          } else if (!loop.isShuttingDown()) {
            loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
          }
        });
  }
}
