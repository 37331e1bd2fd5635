package rillyard.trial;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** A connection of a process's and the one to its host that goes with it. Reads one piece at a time each way. */
final class LinkedPair {
  private final SocketChannel front;
  private final HostLink link;
  private SocketChannel back;
  private boolean connecting;

  LinkedPair(SocketChannel front, HostLink link) {
    this.front = front;
    this.link = link;
    front.pipeline().addLast(new Passing());
  }

  void connecting() {
    connecting = true;
  }

  void connected(SocketChannel ch) {
    back = ch;
    if (!front.isActive()) {
      ch.close();
      return;
    }
    ch.pipeline().addLast(new Passing());
    read();
  }

  private void read() {
    front.read();
    back.read();
  }

  /** Goes on, or ends, as the faults that are under way now have it. */
  void changed(HostLinks.Way way) {
    if (way.reset()) {
      reset();
    } else if (!way.silent()) {
      if (back != null && (!front.isActive() || !back.isActive())) {
        front.close();
        back.close();
      } else if (back != null) {
        front.pipeline().get(Passing.class).goOn();
        back.pipeline().get(Passing.class).goOn();
        read();
      } else if (!connecting) {
        link.connect(this);
      }
    }
  }

  /** Ends both with a reset. */
  void reset() {
    reset(front);
    if (back != null) {
      reset(back);
    }
  }

  static void reset(SocketChannel ch) {
    if (ch.isOpen()) {
      ch.config().setSoLinger(0);
      ch.close();
    }
  }

  /** Whether nothing is left of it. */
  boolean over() {
    return !front.isOpen() && (back == null || !back.isOpen());
  }

  /** One way: a piece is read, held as long as the faults say, and passed on before the next is read. */
  private final class Passing extends ChannelInboundHandlerAdapter {
    private ChannelHandlerContext context;
    private final ArrayDeque<Object> waiting = new ArrayDeque<>();
    private int held;
    private boolean ended;

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object piece) {
      held++;
      if (link.way().silent()) {
        waiting.add(piece); // its read was asked for before the silence
      } else {
        pass(piece);
      }
    }

    /** Passes on what came during a silence. */
    void goOn() {
      while (!waiting.isEmpty()) {
        pass(waiting.poll());
      }
    }

    private void pass(Object piece) {
      ChannelHandlerContext ctx = context;
      double late = link.way().lateMs();
      if (late > 0) {
        ctx.channel().eventLoop().schedule(() -> pass(ctx, piece), (long) (late * 1_000), TimeUnit.MICROSECONDS);
      } else {
        pass(ctx, piece);
      }
    }

    private Channel other(ChannelHandlerContext ctx) {
      return ctx.channel() == front ? back : front;
    }

    private void pass(ChannelHandlerContext ctx, Object piece) {
      other(ctx).writeAndFlush(piece).addListener(f -> {
        held--;
        if (ended && held == 0) {
          other(ctx).close();
        } else if (f.isSuccess() && !link.way().silent()) {
          ctx.read();
        }
      });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      waiting.forEach(ReferenceCountUtil::release);
      waiting.clear();
      Channel other = other(ctx);
      ended = true;
      if (other != null && held == 0 && !link.way().silent()) { // its end would be a sign of life where nothing passes
        other.close();
      }
      link.closed(LinkedPair.this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException) {
        reset(); // one side was reset: so is the other
      } else {
        ctx.close();
      }
    }
  }
}
