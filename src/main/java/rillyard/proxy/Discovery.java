package rillyard.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import rillyard.adapter.JsonTree;
import rillyard.balancer.News;
import rillyard.trace.TraceLine;

/**
 * The watch on the list of hosts. It resumes from the last version that was applied, so that a
 * break loses no change.
 */
final class Discovery {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** A watch says something every 2 s; one silent for longer than this (ns) is broken. */
  private static final long SILENCE_NANOS = 5_000_000_000L;

  /** First wait (ms) before a broken watch is opened anew, doubled up to the last. */
  private static final long BACKOFF_MS = 50;

  private static final long BACKOFF_MAX_MS = 1_000;

  /** A longer line is no list of hosts. */
  private static final int MAX_LINE = 4 << 20;

  private final Dispatcher dispatcher;
  private final Log log;
  private InetSocketAddress address;
  private final boolean asked;
  private final Bootstrap bootstrap;
  private long version;
  private long malformed;
  private long backoff = BACKOFF_MS;
  private Watch watch;
  private Future<?> reopening;

  Discovery(EventLoopGroup loop, Config config, Dispatcher dispatcher, Log log) {
    this.dispatcher = dispatcher;
    this.log = log;
    this.address = config.discovery();
    this.asked = config.settings().mustFollow();
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {}
                });
  }

  /** Starts the module with the list of the configuration, and the watch behind it. */
  void start(JsonNode known) {
    Hosts.News news;
    try {
      news = dispatcher.hosts().read(known);
      version = news.version();
    } catch (IllegalArgumentException e) {
      news = new Hosts.News(0, true, List.of());
    }
    dispatcher.start(news, this::open);
    if (!asked) {
      open();
    }
  }

  /**
   * Discovery has moved: watches it at its new address from the last version on. Guards against a
   * wait for the old one, which may stay open and say nothing more. Harmless where it has not moved.
   */
  void moveTo(InetSocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    log.line("watch: discovery moves from " + address + " to " + to);
    address = to;
    backoff = BACKOFF_MS;
    open();
  }

  /** Opens the watch, in place of one that is open or waits to be opened. */
  private void open() {
    if (reopening != null) {
      reopening.cancel(false);
      reopening = null;
    }
    if (watch != null) {
      Watch old = watch;
      watch = null;
      old.channel.close();
    }
    if (log.trace() != null) {
      log.trace().did(TraceLine.What.LIST, TraceLine.NONE);
    }
    ChannelFuture f = bootstrap.connect(address);
    Watch w = new Watch(f.channel());
    watch = w;
    f.addListener(
        x -> {
          if (f.isSuccess()) {
            w.begin();
          } else {
            w.broken("can't be reached");
          }
        });
  }

  /**
   * Reads what the watch has waiting, ahead of all other sockets. Guards against requests that came before a list did and,
   * after a gap in this process's own time, would be read before it: they would go to hosts that drain by then.
   */
  void readFirst() {
    if (watch != null && watch.channel instanceof AbstractNioChannel c && c.isActive()) {
      c.unsafe().read();
    }
  }

  /** Ends a watch that has gone silent. */
  void sweep() {
    if (watch != null && System.nanoTime() - watch.heardAt > SILENCE_NANOS) {
      watch.broken("silent");
    }
  }

  private void retry() {
    if (asked) {
      dispatcher.followFailed(); // the module decides when to ask again
      return;
    }
    long wait = backoff / 2 + (long) (Math.random() * backoff);
    backoff = Math.min(2 * backoff, BACKOFF_MAX_MS);
    reopening = dispatcher.later(wait, this::open);
  }

  private final class Watch extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private byte[] line = new byte[4_096];
    private int size;
    private long heardAt = System.nanoTime();
    private boolean good;

    Watch(Channel channel) {
      this.channel = channel;
    }

    void begin() {
      if (watch != this) {
        channel.close();
        return;
      }
      channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
      DefaultFullHttpRequest r =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.GET,
              "/catalog/members?follow=1&since=" + version,
              Unpooled.EMPTY_BUFFER);
      r.headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      channel.writeAndFlush(r);
    }

    /** Ends this watch once and has it opened anew. */
    void broken(String why) {
      channel.close();
      if (watch == this) {
        watch = null;
        log.line("watch: " + why);
        retry();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      try {
        if (watch == this) {
          take((HttpObject) msg);
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void take(HttpObject part) {
      heardAt = System.nanoTime();
      if (part.decoderResult().isFailure()) {
        broken("malformed answer");
      } else if (part instanceof HttpResponse head && head.status().code() != 200) {
        broken("answered " + head.status().code());
      } else if (part instanceof HttpContent content) {
        lines(content.content());
        if (part instanceof LastHttpContent && watch == this) {
          broken("ended");
        }
      }
    }

    private void lines(ByteBuf bytes) {
      while (bytes.isReadable() && watch == this) {
        int end = bytes.bytesBefore((byte) '\n');
        int n = end < 0 ? bytes.readableBytes() : end;
        if (size + n > MAX_LINE) {
          broken("a line without an end");
          return;
        }
        if (size + n > line.length) {
          line = Arrays.copyOf(line, Math.max(2 * line.length, size + n));
        }
        bytes.readBytes(line, size, n);
        size += n;
        if (end >= 0) {
          bytes.skipBytes(1);
          int length = size;
          size = 0;
          line(length);
        }
      }
    }

    private void line(int length) {
      boolean blank = true;
      for (int i = 0; i < length && blank; i++) {
        blank = line[i] <= ' ' && line[i] >= 0;
      }
      if (!blank) {
        Hosts.News news;
        try {
          news = dispatcher.hosts().read(JsonTree.read(line, 0, length));
        } catch (IOException | IllegalArgumentException e) {
          // The last good list stays; what the line was to tell comes again from its version on.
          log.line("watch: malformed line, " + ++malformed + " so far: " + e.getMessage());
          broken("can't be understood");
          return;
        }
        apply(news);
      }
      if (!good) {
        good = true;
        backoff = BACKOFF_MS;
      }
    }

    private void apply(Hosts.News news) {
      // A whole list that opens a watch is all that this discovery knows, whatever it counts from.
      if (news.version() < version && (good || !news.full())) {
        log.line("watch: version " + news.version() + " is older than " + version + ", left out");
        return;
      }
      version = news.version();
      dispatcher.membership(news.full() ? News.FULL : News.DELTA, news);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      broken("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof IOException)) {
        log.failure("the watch failed", cause);
      }
      broken("failed");
    }
  }
}
