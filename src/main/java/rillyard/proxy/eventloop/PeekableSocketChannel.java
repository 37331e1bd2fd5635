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

/**
 * A socket channel whose pending input and end of stream can be checked at once, ahead of the event loop's next turn.
 *
 * <p>Confined to the channel's event loop.
 */
public class PeekableSocketChannel extends NioSocketChannel {
    /** A server channel that accepts {@link PeekableSocketChannel}s. */
    public static class Server extends NioServerSocketChannel {
        private final StallDetector stallDetector;

        /** Creates an unbound server channel; the detector is that of its event loop. */
        public Server(StallDetector stallDetector) {
            this.stallDetector = stallDetector;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel socket = acceptSocket();
            if (socket == null) {
                stallDetector.onBacklogEmpty();
                return 0;
            }
            accepted.add(newAcceptedChannel(socket, stallDetector));
            return 1;
        }

        /** Accepts one connection of the backlog; returns null if there is none. */
        protected SocketChannel acceptSocket() throws IOException {
            return javaChannel().accept();
        }

        /** Creates the channel of a connection that was accepted. */
        protected PeekableSocketChannel newAcceptedChannel(SocketChannel socket, StallDetector detector) {
            return new PeekableSocketChannel(this, socket, detector);
        }

        /**
         * Accepts all connections of the backlog at once.
         *
         * @throws IOException if an accept has failed, before which others may have succeeded
         */
        public void acceptPending() throws IOException {
            try {
                SocketChannel socket;
                while ((socket = acceptSocket()) != null) {
                    pipeline().fireChannelRead(newAcceptedChannel(socket, stallDetector));
                }
            } finally {
                pipeline().fireChannelReadComplete();
            }
        }

        /**
         * Accepts connections of the backlog and closes them unread; returns their number.
         *
         * @param max most connections to close
         * @throws IOException if an accept has failed, before which others may have succeeded
         */
        public int closePending(int max) throws IOException {
            int closed = 0;
            SocketChannel socket = acceptSocket();
            while (socket != null) {
                closeUnread(socket);
                closed++;
                socket = closed < max ? acceptSocket() : null;
            }
            return closed;
        }

        private static void closeUnread(SocketChannel socket) {
            try (socket) {
                socket.configureBlocking(false);
                socket.shutdownOutput();
                drainInput(socket);
            } catch (IOException ignored) {
                // the peer has reset the connection
            }
        }
    }

    /** Most bytes that are read and discarded before a socket is closed. */
    private static final int MAX_DRAINED_BYTES = 64 * 1024;

    private static final int DRAIN_BUFFER_BYTES = 4_096;

    private static final int END_OF_STREAM = -1;

    private final ByteBuffer peekBuffer = ByteBuffer.allocate(1);
    private final StallDetector stallDetector;
    private final long acceptTurn;
    private final long acceptableSinceNanos;
    private final InputAge inputAge = new InputAge();
    private final ReadUsage readUsage = new ReadUsage();
    /** Null unless reads are limited. */
    private ReadScheduler readScheduler;

    private long handlingSinceNanos;
    private boolean isReadDeferred;
    private boolean hasPeekedByte;

    /** Creates a channel for a connect; {@link #sentSinceNanos} is not supported by it. */
    public PeekableSocketChannel() {
        this.stallDetector = null;
        this.acceptTurn = 0;
        this.acceptableSinceNanos = 0;
    }

    /** Creates a channel for a connection that {@code parent} has accepted in this turn of the event loop. */
    protected PeekableSocketChannel(Channel parent, SocketChannel socket, StallDetector stallDetector) {
        super(parent, socket);
        this.stallDetector = stallDetector;
        this.acceptTurn = stallDetector.turn();
        this.acceptableSinceNanos = stallDetector.acceptableSince();
    }

    /** Records that bytes of an accepted connection have been read; to be called with each read, before it is handled. */
    public void recordRead() {
        var reads = unsafe().recvBufAllocHandle();
        inputAge.onRead(
                reads.lastBytesRead() < reads.attemptedBytesRead(),
                stallDetector.turn(),
                System.nanoTime(),
                stallDetector.readableSince(acceptTurn, acceptableSinceNanos));
    }

    /** From now on reads as much of each turn as the scheduler grants. */
    public void limitReads(ReadScheduler scheduler) {
        readScheduler = scheduler;
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        if (readScheduler == null) {
            return super.doReadBytes(bytes);
        }
        long nowNanos = System.nanoTime();
        endHandling(nowNanos);
        int granted = readScheduler.maxBytes(readUsage, bytes.writableBytes(), nowNanos);
        isReadDeferred = granted == ReadScheduler.DEFERRED;
        if (isReadDeferred) {
            recordDeferred(nowNanos);
            return 0;
        }
        handlingSinceNanos = nowNanos;
        if (granted == bytes.writableBytes()) {
            return super.doReadBytes(bytes);
        }
        unsafe().recvBufAllocHandle().attemptedBytesRead(granted);
        return bytes.writeBytes(javaChannel(), granted);
    }

    private void recordDeferred(long nowNanos) {
        if (stallDetector != null) {
            long readableSinceNanos = stallDetector.readableSince(acceptTurn, acceptableSinceNanos);
            inputAge.onDeferred(stallDetector.turn(), nowNanos, readableSinceNanos);
        }
    }

    private void endHandling(long nowNanos) {
        if (handlingSinceNanos != 0) {
            readUsage.onHandled(nowNanos - handlingSinceNanos);
            handlingSinceNanos = 0;
        }
    }

    /** Returns whether the last read was left to a later turn, so that the socket may hold input. */
    public boolean isReadDeferred() {
        return isReadDeferred;
    }

    /** Records the end of the reads of a turn, the last of which may have found the socket empty. */
    public void recordReadComplete() {
        endHandling(System.nanoTime());
        if (!isReadDeferred && unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
            inputAge.onSocketEmpty();
        }
    }

    /**
     * Returns since when ({@link System#nanoTime}) the bytes that an accepted connection has read last, or those that
     * are unread, may have waited.
     */
    public long sentSinceNanos() {
        return inputAge.sentSinceNanos();
    }

    /** Returns whether more may have arrived on an accepted connection than was read. */
    public boolean hasUnreadInput() {
        return inputAge.hasUnreadInput(stallDetector.turn(), System.nanoTime());
    }

    /** Returns the number of the event loop's current turn, on an accepted connection. */
    public long turn() {
        return stallDetector.turn();
    }

    /** Records that a message is complete, behind which its sender sends nothing before it is answered. */
    public void onMessageComplete() {
        inputAge.onMessageComplete();
    }

    /** Pauses reading from an accepted connection until {@link #resumeReading}. */
    public void pauseReading() {
        if (config().isAutoRead()) {
            inputAge.onPaused(stallDetector.turn(), System.nanoTime());
            config().setAutoRead(false);
        }
    }

    /** Resumes reading from an accepted connection, if it is paused. */
    public void resumeReading() {
        if (!config().isAutoRead()) {
            inputAge.onResumed(stallDetector.turn(), System.nanoTime());
            config().setAutoRead(true);
        }
    }

    /**
     * Returns whether the connection is open and no byte has arrived; a byte that has arrived is consumed.
     *
     * <p>Used for pooled connections: a request that is written after the end of the connection has arrived in the
     * kernel would count as one that may have been executed.
     */
    public boolean hasNothingToRead() {
        return peek() == 0;
    }

    /** Returns whether the peer has ended the connection; a byte that has arrived is kept for the next read. */
    public boolean isEndOfStream() {
        int read = hasPeekedByte ? 1 : peek();
        hasPeekedByte = read > 0;
        return read == END_OF_STREAM;
    }

    /** Returns whether a byte was read ahead, which precedes the bytes of the next read. */
    public boolean hasPeekedByte() {
        return hasPeekedByte;
    }

    /**
     * Returns the bytes of a read, preceded by the byte that was read ahead, if any.
     *
     * <p>That byte is not passed on when it is read, as the decoder is active then and is not reentrant.
     */
    public ByteBuf prependPeekedByte(ByteBuf read) {
        if (!hasPeekedByte) {
            return read;
        }
        hasPeekedByte = false;
        return Unpooled.wrappedBuffer(Unpooled.copiedBuffer(peekBuffer.flip()), read);
    }

    /**
     * Shuts down the output, discards pending input and closes the channel.
     *
     * <p>Closing a socket with unread input sends a reset, which discards sent data that the peer has not read yet.
     */
    public void shutdownOutputAndDrain() {
        if (isActive()) {
            shutdownOutput();
            drainInput(javaChannel());
        }
        close();
    }

    private static void drainInput(SocketChannel socket) {
        ByteBuffer scratch = ByteBuffer.allocate(DRAIN_BUFFER_BYTES);
        int remainingReads = MAX_DRAINED_BYTES / DRAIN_BUFFER_BYTES;
        try {
            while (remainingReads > 0 && socket.read(scratch.clear()) > 0) {
                remainingReads--;
            }
        } catch (IOException ignored) {
            // the peer has reset the connection
        }
    }

    /** Reads one byte: returns 1 if there was one, 0 if not, -1 at the end of the stream or on an error. */
    private int peek() {
        try {
            peekBuffer.clear();
            return javaChannel().read(peekBuffer);
        } catch (IOException ignored) {
            return END_OF_STREAM; // the peer has reset the connection
        }
    }
}
