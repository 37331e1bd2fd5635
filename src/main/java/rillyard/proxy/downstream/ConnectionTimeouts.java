package rillyard.proxy.downstream;

import io.netty.channel.Channel;

/** Checks the timeouts of a client connection: of its client, of the host that reads its body, and of idleness. */
final class ConnectionTimeouts {
    /** The timeout that has expired. */
    enum Expiry {
        /** No timeout. */
        NONE,
        /** The host reads the body that is forwarded to it too slowly, or not at all. */
        HOST_STALLED,
        /** The client sends its request too slowly. */
        SLOW_REQUEST,
        /** The client does not read its response. */
        CLIENT_STALLED,
        /** The connection has had no request for too long. */
        IDLE
    }

    /** Longest time to receive a request head; clients are allowed 2 s. */
    private static final long MAX_HEAD_NANOS = 2_300_000_000L;

    /** Longest time to receive a body, in addition to the time that it takes at {@link #MIN_BYTES_PER_SECOND}. */
    private static final long MAX_BODY_NANOS = 6_000_000_000L;

    /** Lowest rate at which a buffered body may arrive; clients send and read bodies at 64 kB per second. */
    private static final double MIN_BYTES_PER_SECOND = 8_192;

    /** Longest time for which a host may read nothing of a forwarded body. */
    private static final long MAX_HOST_STALL_NANOS = 5_000_000_000L;

    /** Longest time from when the first byte of a head may have been sent; clients are owed an end within 3 s. */
    private static final long MAX_HEAD_AGE_NANOS = 2_650_000_000L;

    /** Longest time for which a client may read nothing of its response before it is regarded as gone. */
    private static final long CLIENT_STALL_NANOS = 30_000_000_000L;

    /** Longest time without input while a body is being received. */
    private static final long MAX_BODY_SILENCE_NANOS = 2_200_000_000L;

    /** Longest time for which a connection may be idle, as it holds a descriptor; clients are allowed 2 s. */
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

    /** Records that the connection has no request from now on. */
    void onIdle() {
        idleSinceNanos = System.nanoTime();
    }

    /**
     * Returns the timeout that has expired at {@code nowNanos}; called a few times a second.
     *
     * @param connection the connection that is checked
     */
    Expiry check(long nowNanos, ClientConnection connection) {
        decoder.startReceiveTimer(nowNanos);
        boolean hasExchange = connection.hasExchange();
        boolean isHostStalled = body.isUploading()
                && !channel.config().isAutoRead()
                && nowNanos - decoder.lastReadNanos() > hostStallNanos();
        if (isHostStalled || body.isOverdue(nowNanos)) {
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

    /** Returns how long a host may read nothing of the body, of which the client may have sent all by the last read. */
    private long hostStallNanos() {
        return Math.min(MAX_HOST_STALL_NANOS, body.timeoutNanos());
    }

    /** Returns whether the client sends its request too slowly; delays by the proxy or by a host do not count. */
    private boolean isRequestSlow(long nowNanos, boolean hasExchange) {
        long receivingSinceNanos = decoder.receivingSinceNanos();
        if (body.isAwaitingMemory()
                || receivingSinceNanos == 0
                || decoder.hasHeldInput()
                || !channel.config().isAutoRead()) {
            return false;
        }
        if (!body.isReceiving()) {
            long elapsedNanos = nowNanos - receivingSinceNanos;
            return !hasExchange
                    && (elapsedNanos > MAX_HEAD_NANOS
                            || elapsedNanos + decoder.waitedBeforeReceivingNanos() > MAX_HEAD_AGE_NANOS);
        }
        if (nowNanos - decoder.lastReadNanos() > MAX_BODY_SILENCE_NANOS) {
            return true;
        }
        if (body.isUploading() || body.isSkipping()) {
            return false; // a forwarded body arrives as fast as its host reads it
        }
        long maxNanos = MAX_BODY_NANOS + (long) (body.receivedBytes() * 1e9 / MIN_BYTES_PER_SECOND);
        return nowNanos - receivingSinceNanos > maxNanos;
    }
}
