package rillyard.faultinjection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * A relayed connection: the process's side (downstream) and the host's side (upstream). Confined to the event loop.
 */
final class RelayedConnection {
    /** Time (ms) for a read to show that the sender of a held piece has closed its side during a silence. */
    private static final long CLOSE_CHECK_MS = 20;

    private final SocketChannel downstream;
    private final TcpRelay relay;
    private final Forwarder toUpstream;
    private SocketChannel upstream;
    private Forwarder toDownstream;
    private boolean connecting;
    private boolean wasSilent;

    RelayedConnection(SocketChannel downstream, TcpRelay relay) {
        this.downstream = downstream;
        this.relay = relay;
        this.toUpstream = new Forwarder(downstream);
    }

    /** Records that the connection to the host has been started. */
    void markConnecting() {
        connecting = true;
    }

    /** Starts forwarding, or closes the host's side if the process has closed its side meanwhile. */
    void onConnected(SocketChannel channel) {
        upstream = channel;
        if (!downstream.isActive()) {
            channel.close();
            return;
        }
        toDownstream = new Forwarder(channel);
        resume();
    }

    /** Records that the connection is silent until the next change. */
    void onSilent() {
        wasSilent = true;
    }

    private void resume() {
        boolean checksForClose = wasSilent;
        wasSilent = false;
        toUpstream.resume(checksForClose);
        toDownstream.resume(checksForClose);
    }

    /** Applies a change of the active faults: resumes, connects, closes or resets the connection. */
    void onChange(ConnectionFaults.Effect effect) {
        if (effect.reset()) {
            reset();
        } else if (effect.silent()) {
            onSilent();
        } else if (upstream == null) {
            if (!connecting) {
                relay.connect(this);
            }
        } else if (downstream.isActive() && upstream.isActive()) {
            resume();
        } else {
            downstream.close();
            upstream.close();
        }
    }

    /** Resets both sides. */
    void reset() {
        reset(downstream);
        if (upstream != null) {
            reset(upstream);
        }
    }

    /** Closes a channel with a TCP reset. */
    static void reset(SocketChannel channel) {
        if (channel.isOpen()) {
            channel.config().setSoLinger(0);
            channel.close();
        }
    }

    /** Returns whether both sides are closed. */
    boolean isClosed() {
        return !downstream.isOpen() && (upstream == null || !upstream.isOpen());
    }

    /**
     * Forwards one direction. A piece is read, delayed as the faults require, and forwarded before the next one is
     * read, so that no piece overtakes another when a fault ends.
     */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final SocketChannel source;
        private boolean forwarding;
        private boolean holding;
        private Object pending;
        private boolean sourceClosed;

        Forwarder(SocketChannel source) {
            this.source = source;
            source.pipeline().addLast(this);
        }

        private SocketChannel destination() {
            return source == downstream ? upstream : downstream;
        }

        /**
         * Reads the next piece.
         *
         * @param checksForClose whether pieces are held for a moment, in case that their sender has closed during a
         *     silence: some transports report a close only to a read
         */
        void resume(boolean checksForClose) {
            if (checksForClose) {
                holding = true;
                source.read();
                source.eventLoop().schedule(this::endHold, CLOSE_CHECK_MS, TimeUnit.MILLISECONDS);
            } else if (!forwarding) {
                source.read();
            }
        }

        private void endHold() {
            holding = false;
            if (pending != null && !relay.effect().silent()) {
                Object piece = pending;
                pending = null;
                forwardDelayed(piece);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object piece) {
            forwarding = true;
            if (pending != null) {
                pending = Unpooled.wrappedBuffer((ByteBuf) pending, (ByteBuf) piece);
            } else if (holding || relay.effect().silent()) {
                pending = piece; // the read may have been requested before the silence began
            } else {
                forwardDelayed(piece);
            }
            if (holding) {
                source.read(); // to the end of the input
            }
        }

        private void forwardDelayed(Object piece) {
            double delayMs = relay.effect().delayMs();
            if (delayMs > 0) {
                source.eventLoop().schedule(() -> forward(piece), (long) (delayMs * 1_000), TimeUnit.MICROSECONDS);
            } else {
                forward(piece);
            }
        }

        private void forward(Object piece) {
            destination().writeAndFlush(piece).addListener(future -> {
                forwarding = false;
                if (sourceClosed) {
                    destination().close();
                } else if (future.isSuccess() && !relay.effect().silent()) {
                    source.read();
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            sourceClosed = true;
            ReferenceCountUtil.release(pending);
            forwarding &= pending == null;
            pending = null;
            if (destination() != null
                    && !forwarding
                    && !relay.effect().silent()) { // a silent connection must not forward a close either
                destination().close();
            }
            relay.onClosed(RelayedConnection.this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                reset(); // a reset of one side is forwarded to the other
            } else {
                ctx.close();
            }
        }
    }
}
