package rillyard.proxy.downstream;

import io.netty.channel.Channel;

/** Decides whether a client connection, its client or the host behind it has taken too long. */
final class ConnectionTimeouts {
    /** What has taken too long. */
    enum Expiry {
        /** Nothing. */
        NONE,
        /** A host that has stopped taking the body that is forwarded to it. */
        HOST_STALLED,
        /** A client that sends its request too slowly. */
        SLOW_REQUEST,
        /** A client that does not take its response. */
        CLIENT_STALLED,
        /** A connection without a request. */
        IDLE
    }

    /** How long (ns) a head may take, of which clients are allowed 2 s. */
    private static final long MAX_HEAD_NANOS = 2_300_000_000L;

    /** How long (ns) a body may take besides what its bytes take at {@link #MIN_BYTES_PER_SECOND}. */
    private static final long MAX_BODY_NANOS = 6_000_000_000L;

    /** Lowest rate of a buffered body; clients send and read bodies at 64 kB a second. */
    private static final double MIN_BYTES_PER_SECOND = 8_192;

    /** How long (ns) a host may take nothing of a body, whose request has no deadline yet. */
    private static final long HOST_STALL_NANOS = 5_000_000_000L;

    /** How long (ns) a client may take nothing of its response before it counts as gone. */
    private static final long CLIENT_STALL_NANOS = 30_000_000_000L;

    /** How long (ns) a body that has begun may bring nothing. */
    private static final long MAX_BODY_SILENCE_NANOS = 2_200_000_000L;

    /** How long (ns) a connection may be idle, which clients may do for 2 s: each holds a descriptor. */
    private static final long MAX_IDLE_NANOS = 2_100_000_000L;

    private final Channel channel;
    private final ClientRequestDecoder decoder;
    private final RequestBodyReceiver body;
    private final ResponseWriter writer;
    private long idleSinceNanos = System.nanoTime();

    ConnectionTimeouts(Channel channel, ClientRequestDecoder decoder, RequestBodyReceiver body, ResponseWriter writer) {
        this.channel = channel;
        this.decoder = decoder;
        this.body = body;
        this.writer = writer;
    }

    /** The connection has no request from now on. */
    void onIdle() {
        idleSinceNanos = System.nanoTime();
    }

    /**
     * Returns what has expired at {@code nowNanos}; to be asked a few times a second.
     *
     * @param connection the connection itself, for its state
     */
    Expiry check(long nowNanos, ClientConnection connection) {
        decoder.startReceiveTimer(nowNanos);
        boolean hasExchange = connection.hasExchange();
        if (body.isUploading()
                && !channel.config().isAutoRead()
                && nowNanos - decoder.lastReadNanos() > HOST_STALL_NANOS) {
            return Expiry.HOST_STALLED;
        }
        if (!connection.isDiscardingInput() && isRequestSlow(nowNanos, hasExchange)) {
            return Expiry.SLOW_REQUEST;
        }
        if ((hasExchange && writer.isBlockedLongerThan(CLIENT_STALL_NANOS, nowNanos))
                || writer.isWritingLongerThan(CLIENT_STALL_NANOS, nowNanos)) {
            return Expiry.CLIENT_STALLED;
        }
        return !connection.isBusy() && nowNanos - idleSinceNanos > MAX_IDLE_NANOS ? Expiry.IDLE : Expiry.NONE;
    }

    /** Returns whether what is being received takes too long, by no fault of the proxy's or a host's. */
    private boolean isRequestSlow(long nowNanos, boolean hasExchange) {
        long receivingSince = decoder.receivingSinceNanos();
        if (body.isAwaitingMemory() || receivingSince == 0 || !channel.config().isAutoRead()) {
            return false;
        }
        if (!body.isReceiving()) {
            return !hasExchange && nowNanos - receivingSince > MAX_HEAD_NANOS;
        }
        if (nowNanos - decoder.lastReadNanos() > MAX_BODY_SILENCE_NANOS) {
            return true;
        }
        if (body.isUploading() || body.isSkipping()) {
            return false; // a forwarded body comes as fast as its host takes it
        }
        long maxNanos = MAX_BODY_NANOS + (long) (body.receivedBytes() * 1e9 / MIN_BYTES_PER_SECOND);
        return nowNanos - receivingSince > maxNanos;
    }
}
