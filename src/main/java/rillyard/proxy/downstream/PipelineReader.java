package rillyard.proxy.downstream;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import rillyard.proxy.eventloop.GuardedTimer;
import rillyard.proxy.eventloop.PeekableSocketChannel;

/**
 * Holds the input of one client connection that can't be handled yet, and releases it: while a request is in progress,
 * while the client does not read its responses, and while the connection has used up its time in a turn of the loop.
 */
final class PipelineReader {
    private final ClientConnection connection;
    private final RequestReader reader;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final PipelineBuffer buffer;
    private final TurnBudget budget;
    private boolean isReadingParts;
    private boolean isReleaseScheduled;

    PipelineReader(
            ClientConnection connection,
            RequestReader reader,
            PeekableSocketChannel channel,
            ClientRequestDecoder decoder,
            PipelineBuffer buffer) {
        this.connection = connection;
        this.reader = reader;
        this.channel = channel;
        this.decoder = decoder;
        this.buffer = buffer;
        this.budget = new TurnBudget(channel);
    }

    /** Returns whether input has been received that no request has taken. */
    boolean hasInput() {
        return buffer.hasParts() || buffer.isHoldingBytes() || buffer.hasOverflowed();
    }

    /** Returns whether a part can't be handled yet. */
    boolean mustHold(HttpObject part) {
        if (connection.isDiscardingInput() || reader.body().isUploading()) {
            return false;
        }
        boolean isBehindHeld = buffer.hasParts() && !isReadingParts;
        return connection.hasExchange() || isBehindHeld || (part instanceof HttpRequest && !mayBeginRequest());
    }

    /** Holds a part and the input behind it; takes over the caller's reference. */
    void hold(HttpObject part) {
        // Input behind a request in progress is still read, because only then is the end of the connection noticed,
        // after which no request may be started for this client.
        buffer.addPart(part, decoder.inputSentSinceNanos());
        decoder.holdInput();
        if (!connection.hasExchange()) {
            channel.pauseReading();
            scheduleRelease(budget.pauseNanos());
        }
    }

    private boolean mayBeginRequest() {
        return channel.isWritable() && !budget.isSpent();
    }

    /** Handles held input as far as possible, as a response has been written; returns false if nothing is left to do. */
    boolean readNext() {
        if (isReadingParts) {
            return true; // the caller further up goes on
        }
        if (!hasInput()) {
            return false;
        }
        readParts();
        if (connection.hasExchange() || !hasInput()) {
            return connection.hasExchange();
        }
        scheduleRelease(mayBeginRequest() ? 0 : budget.pauseNanos());
        return true;
    }

    private void readParts() {
        isReadingParts = true;
        try {
            while (!connection.hasExchange()
                    && buffer.hasParts()
                    && (reader.body().isReceiving() || mayBeginRequest())) {
                decoder.setInputSentSinceNanos(buffer.partsSentSinceNanos());
                reader.handleAndRelease(buffer.pollPart());
            }
        } finally {
            isReadingParts = false;
        }
    }

    /** Continues after the client has read its responses. */
    void onWritable() {
        if (!connection.hasExchange() && hasInput()) {
            scheduleRelease(budget.pauseNanos());
        }
    }

    /**
     * Releases held input after a pause, once the client has read its responses. It is never released at once, because
     * the decoder may be active and is not reentrant.
     */
    private void scheduleRelease(long delayNanos) {
        if (!isReleaseScheduled && channel.isWritable()) {
            isReleaseScheduled = true;
            GuardedTimer.schedule(
                    channel.eventLoop(), delayNanos, this::release, channel.pipeline()::fireExceptionCaught);
        }
    }

    private void release() {
        isReleaseScheduled = false;
        if (!channel.isActive()) {
            return;
        }
        readParts();
        while (mayParse() && buffer.isHoldingBytes() && (reader.body().isReceiving() || mayBeginRequest())) {
            decoder.releaseHeldInput();
        }
        reader.onReadComplete();
        if (connection.isDiscardingInput()
                || (connection.hasExchange() && !reader.body().isUploading())) {
            return;
        }
        if (buffer.hasParts() || buffer.isHoldingBytes()) {
            scheduleRelease(budget.pauseNanos());
        } else if (buffer.hasOverflowed()) {
            reader.rejectDiscarded();
        } else if (!reader.body().isAwaitingMemory() && !reader.body().isUploading()) {
            channel.resumeReading();
            connection.onInputReleased();
        }
    }

    /** Returns whether the next held bytes may be parsed: there is no current request, or they belong to it. */
    private boolean mayParse() {
        boolean mayBeNext = !connection.hasExchange() && !buffer.hasParts();
        return !connection.isDiscardingInput() && (reader.body().isUploading() || mayBeNext);
    }

    /** Releases what is held for a connection that is closed, or whose input is discarded from now on. */
    void close() {
        buffer.releaseParts();
        buffer.releaseBytes();
    }
}
