package rillyard.proxy.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import rillyard.stall.StallDetector;

/** A socket that can be asked at once what the loop would hear of on its next turn only. */
public final class PeekableSocketChannel extends NioSocketChannel {
    /** Accepts such sockets. */
    public static final class Server extends NioServerSocketChannel {
        private final StallDetector gaps;

        public Server(StallDetector gaps) {
            this.gaps = gaps;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel channel = javaChannel().accept();
            if (channel == null) {
                gaps.onBacklogEmpty();
                return 0;
            }
            accepted.add(new PeekableSocketChannel(this, channel, gaps));
            return 1;
        }

        /** Accepts all that waits; on the loop. */
        public void acceptPending() {
            try {
                SocketChannel channel;
                while ((channel = javaChannel().accept()) != null) {
                    pipeline().fireChannelRead(new PeekableSocketChannel(this, channel, gaps));
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
    private boolean hasHeldByte;

    private final StallDetector gaps;
    private final long acceptTurn;
    private final long acceptedSince;

    /** One that connects to a host: nobody asks it how long its bytes have waited. */
    public PeekableSocketChannel() {
        this.gaps = null;
        this.acceptTurn = 0;
        this.acceptedSince = 0;
    }

    private PeekableSocketChannel(Channel parent, SocketChannel channel, StallDetector gaps) {
        super(parent, channel);
        this.gaps = gaps;
        this.acceptTurn = gaps.turn();
        this.acceptedSince = gaps.acceptableSince();
    }

    /** Since when (ns) what is read in this turn may have waited, on a connection that was accepted. */
    public long readableSince() {
        return gaps.readableSince(acceptTurn, acceptedSince);
    }

    /**
     * Whether the connection is open and nothing has come on it. Guards against a write to a pooled
     * connection whose end waits in the kernel: the request would count as one that may have run.
     */
    public boolean hasNothingToRead() {
        return peek() == 0;
    }

    /** Whether the other side has ended the connection; a byte that has come is held. */
    public boolean isEndOfStream() {
        int n = hasHeldByte ? 1 : peek();
        hasHeldByte = n > 0;
        return n < 0;
    }

    /** Whether a byte is held that belongs ahead of the next read. */
    public boolean hasHeldByte() {
        return hasHeldByte;
    }

    /**
     * What was read, behind the byte that was held. Guards against a byte that is handed on at once:
     * the decoder is at work then, and can't be entered again.
     */
    public ByteBuf prependHeldByte(ByteBuf read) {
        if (!hasHeldByte) {
            return read;
        }
        hasHeldByte = false;
        return Unpooled.wrappedBuffer(Unpooled.copiedBuffer(one.flip()), read);
    }

    /**
     * Ends the sending, takes out what has come, and closes. Guards against a close over unread bytes: it would
     * be a reset, which takes what was sent before with it, and tells the other side nothing of it.
     */
    public void shutdownOutputAndDrain() {
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
