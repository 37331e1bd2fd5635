package rillyard.faultinjection;

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
    private final SocketChannel downstream;
    private final TcpRelay relay;
    private final Forwarder toUpstream;
    private SocketChannel upstream;
    private Forwarder toDownstream;
    private boolean connecting;

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

    private void resume() {
        toUpstream.resume();
        toDownstream.resume();
    }

    /** Applies a change of the active faults: resumes, connects, closes or resets the connection. */
    void onChange(ConnectionFaults.Effect effect) {
        if (effect.reset()) {
            reset();
        } else if (!effect.silent() && upstream == null) {
            if (!connecting) {
                relay.connect(this);
            }
        } else if (!effect.silent() && downstream.isActive() && upstream.isActive()) {
            resume();
        } else if (!effect.silent()) {
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
        private Object pending;
        private boolean sourceClosed;

        Forwarder(SocketChannel source) {
            this.source = source;
            source.pipeline().addLast(this);
        }

        private SocketChannel destination() {
            return source == downstream ? upstream : downstream;
        }

        /** Forwards a piece that was read before a silence, or reads the next one. */
        void resume() {
            if (pending != null) {
                Object piece = pending;
                pending = null;
                forwardDelayed(piece);
            } else if (!forwarding) {
                source.read();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object piece) {
            forwarding = true;
            if (relay.effect().silent()) {
                pending = piece; // the read was requested before the silence began
            } else {
                forwardDelayed(piece);
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
