package rillyard.faultinjection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A connection of a process's and the one to its host that goes with it. */
final class RelayedConnection {
    private final SocketChannel front;
    private final TcpRelay link;
    private final Passing there;
    private SocketChannel back;
    private Passing here;
    private boolean connecting;

    RelayedConnection(SocketChannel front, TcpRelay link) {
        this.front = front;
        this.link = link;
        this.there = new Passing(front);
    }

    void connecting() {
        connecting = true;
    }

    void connected(SocketChannel channel) {
        back = channel;
        if (!front.isActive()) {
            channel.close();
            return;
        }
        here = new Passing(channel);
        goOn();
    }

    private void goOn() {
        there.goOn();
        here.goOn();
    }

    /** Goes on, or ends, as the faults that are under way now have it. */
    void changed(ConnectionFaults.Way way) {
        if (way.reset()) {
            reset();
        } else if (!way.silent() && back == null) {
            if (!connecting) {
                link.connect(this);
            }
        } else if (!way.silent() && front.isActive() && back.isActive()) {
            goOn();
        } else if (!way.silent()) {
            front.close();
            back.close();
        }
    }

    /** Ends both with a reset. */
    void reset() {
        reset(front);
        if (back != null) {
            reset(back);
        }
    }

    static void reset(SocketChannel channel) {
        if (channel.isOpen()) {
            channel.config().setSoLinger(0);
            channel.close();
        }
    }

    /** Whether nothing is left of it. */
    boolean over() {
        return !front.isOpen() && (back == null || !back.isOpen());
    }

    /**
     * One way: a piece is read, held as long as the faults say, and forwarded before the next is read, so that none
     * overtakes another when a fault ends.
     */
    private final class Passing extends ChannelInboundHandlerAdapter {
        private final SocketChannel from;
        private boolean busy;
        private Object waiting;
        private boolean ended;

        Passing(SocketChannel from) {
            this.from = from;
            from.pipeline().addLast(this);
        }

        private SocketChannel to() {
            return from == front ? back : front;
        }

        /** Passes on what came during a silence, or reads the next piece. */
        void goOn() {
            if (waiting != null) {
                Object piece = waiting;
                waiting = null;
                hold(piece);
            } else if (!busy) {
                from.read();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object piece) {
            busy = true;
            if (link.way().silent()) {
                waiting = piece; // its read was asked for before the silence
            } else {
                hold(piece);
            }
        }

        private void hold(Object piece) {
            double late = link.way().lateMs();
            if (late > 0) {
                from.eventLoop().schedule(() -> pass(piece), (long) (late * 1_000), TimeUnit.MICROSECONDS);
            } else {
                pass(piece);
            }
        }

        private void pass(Object piece) {
            to().writeAndFlush(piece).addListener(f -> {
                busy = false;
                if (ended) {
                    to().close();
                } else if (f.isSuccess() && !link.way().silent()) {
                    from.read();
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended = true;
            ReferenceCountUtil.release(waiting);
            busy &= waiting == null;
            waiting = null;
            if (to() != null && !busy && !link.way().silent()) { // its end would be a sign of life where nothing passes
                to().close();
            }
            link.closed(RelayedConnection.this);
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
