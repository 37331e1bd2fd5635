package rillyard.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import rillyard.gaps.Gaps;

/** A socket that can be asked at once what the loop would hear of on its next turn only. */
final class QuietChannel extends NioSocketChannel {
    /** Accepts such sockets. */
    static final class Server extends NioServerSocketChannel {
        private final Gaps gaps;

        Server(Gaps gaps) {
            this.gaps = gaps;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel ch = javaChannel().accept();
            if (ch == null) {
                gaps.accepted();
                return 0;
            }
            accepted.add(new QuietChannel(this, ch, gaps));
            return 1;
        }

        /** Accepts all that waits; on the loop. */
        void acceptRest() {
            try {
                SocketChannel ch;
                while ((ch = javaChannel().accept()) != null) {
                    pipeline().fireChannelRead(new QuietChannel(this, ch, gaps));
                }
            } catch (IOException e) {
                // out of descriptors, or closed: what waits can't be had
            }
            pipeline().fireChannelReadComplete();
        }
    }

    /** Bytes that are taken out of a socket before it is closed at once. */
    private static final int TAKEN_OUT = 64 * 1024;

    private final ByteBuffer one = ByteBuffer.allocate(1);
    private boolean holding;

    private final Gaps gaps;
    private final long acceptTurn;
    private final long acceptedSince;

    /** One that connects to a host: nobody asks it how long its bytes have waited. */
    QuietChannel() {
        this.gaps = null;
        this.acceptTurn = 0;
        this.acceptedSince = 0;
    }

    private QuietChannel(Channel parent, SocketChannel ch, Gaps gaps) {
        super(parent, ch);
        this.gaps = gaps;
        this.acceptTurn = gaps.turn();
        this.acceptedSince = gaps.accepting();
    }

    /** Since when (ns) what is read in this turn may have waited, on a connection that was accepted. */
    long waitingSince() {
        return gaps.since(acceptTurn, acceptedSince);
    }

    /**
     * Whether the connection is open and nothing has come on it. Guards against a write to a pooled
     * connection whose end waits in the kernel: the request would count as one that may have run.
     */
    boolean quiet() {
        return peek() == 0;
    }

    /** Whether the other side has ended the connection; a byte that has come is held. */
    boolean ended() {
        int n = holding ? 1 : peek();
        holding = n > 0;
        return n < 0;
    }

    /** Whether a byte is held that belongs ahead of the next read. */
    boolean holding() {
        return holding;
    }

    /**
     * What was read, behind the byte that was held. Guards against a byte that is handed on at once:
     * the decoder is at work then, and can't be entered again.
     */
    ByteBuf behindHeld(ByteBuf read) {
        if (!holding) {
            return read;
        }
        holding = false;
        return Unpooled.wrappedBuffer(Unpooled.copiedBuffer(one.flip()), read);
    }

    /**
     * Ends the sending, takes out what has come, and closes. Guards against a close over unread bytes: it would
     * be a reset, which takes what was sent before with it, and tells the other side nothing of it.
     */
    void endSending() {
        if (isActive()) {
            shutdownOutput();
            takeOut();
        }
        close();
    }

    private void takeOut() {
        ByteBuffer scratch = ByteBuffer.allocate(4_096);
        try {
            for (int i = 0; i < TAKEN_OUT / scratch.capacity() && javaChannel().read(scratch.clear()) > 0; i++) {
                continue;
            }
        } catch (IOException e) {
            // the other side has ended it by a reset
        }
    }

    private int peek() {
        try {
            one.clear();
            return javaChannel().read(one);
        } catch (IOException e) {
            return -1;
        }
    }
}
