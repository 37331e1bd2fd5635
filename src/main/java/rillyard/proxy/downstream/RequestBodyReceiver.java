package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.dispatch.StreamingUpload;
import rillyard.proxy.eventloop.GuardedTimer;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;

/**
 * Receives the current request of one client connection: buffers its body up to a bound, forwards a longer one, and
 * stops reading while there is no memory or the host takes no more.
 */
final class RequestBodyReceiver {
    /** What becomes of the body of the current request. */
    private enum State {
        /** No request is being received. */
        IDLE,
        /** The head is there, and what comes is buffered. */
        BUFFERING,
        /** As {@link #BUFFERING}, while reading is paused because memory is exhausted. */
        AWAITING_MEMORY,
        /** What comes is forwarded to a host. */
        UPLOADING,
        /** The response has been written ahead of the request's end, and what comes is dropped. */
        SKIPPING
    }

    /** What the connection has to do after part of a body. */
    enum AppendResult {
        /** Nothing. */
        CONTINUE,
        /** Reject the request: its body is longer than allowed. */
        TOO_LARGE,
        /** Hand the request over to a host: its body is longer than may be buffered. */
        UPLOAD,
        /** Reject the request: the memory that it waits for is held by requests that wait themselves. */
        MEMORY_DEADLOCK
    }

    /** Longest wait (ms) for memory; half of the request's timeout if that is shorter. */
    private static final double MAX_MEMORY_WAIT_MILLIS = 400;

    /** If a request completes within this time (ns) of a pause, its bytes are assumed to have waited in the socket. */
    private static final long RESUMED_RECENTLY_NANOS = 20_000_000L;

    private final RequestReader reader;
    private final PeekableSocketChannel channel;
    private final ClientRequestDecoder decoder;
    private final BodyMemoryBudget memory;
    private State state = State.IDLE;
    private HttpRequest head;
    private boolean healthCheck;
    private String requestClass;
    private double timeoutMillis;
    private BufferedBody buffered;
    private StreamingUpload upload;
    private long receivedBytes;
    private long pausedAtNanos;
    private long resumedAtNanos;
    private Runnable memoryWaiter;
    private Future<?> memoryTimeout;

    RequestBodyReceiver(
            RequestReader reader,
            PeekableSocketChannel channel,
            ClientRequestDecoder decoder,
            ClientListener listener) {
        this.reader = reader;
        this.channel = channel;
        this.decoder = decoder;
        this.memory = listener.bodyMemory();
    }

    /** The head of a request has come. */
    void start(HttpRequest requestHead) {
        head = requestHead;
        receivedBytes = 0;
        state = State.BUFFERING;
    }

    /** The request is one for the proxy itself. */
    void onHealthCheck() {
        healthCheck = true;
    }

    /** The request may be dispatched. */
    void onAccepted(ValidationResult.Accepted request) {
        healthCheck = false;
        requestClass = request.requestClass();
        timeoutMillis = request.timeoutMillis();
    }

    HttpRequest head() {
        return head;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    String requestClass() {
        return requestClass;
    }

    double timeoutMillis() {
        return timeoutMillis;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    boolean isReceiving() {
        return state != State.IDLE;
    }

    boolean isAwaitingMemory() {
        return state == State.AWAITING_MEMORY;
    }

    boolean isUploading() {
        return state == State.UPLOADING;
    }

    boolean isSkipping() {
        return state == State.SKIPPING;
    }

    /** Takes part of the body; the caller keeps its reference. */
    AppendResult append(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        if (receivedBytes > BufferedBody.MAX_BYTES
                || (healthCheck && receivedBytes > BufferedBody.MAX_BUFFERED_BYTES)) {
            return AppendResult.TOO_LARGE;
        }
        if (state == State.UPLOADING) {
            upload.append(bytes);
            if (!upload.hasCapacity()) {
                channel.config().setAutoRead(false);
            }
            return AppendResult.CONTINUE;
        }
        return buffer(bytes);
    }

    private AppendResult buffer(ByteBuf bytes) {
        if (buffered == null) {
            buffered = memory.newBody(HttpUtil.getContentLength(head, -1L), true);
        }
        buffered.append(bytes);
        if (buffered.size() > BufferedBody.MAX_BUFFERED_BYTES) {
            return AppendResult.UPLOAD;
        }
        if (memory.isExhausted(buffered.size())) {
            if (memory.isDeadlocked()) {
                return AppendResult.MEMORY_DEADLOCK;
            }
            pauseForMemory();
        }
        return AppendResult.CONTINUE;
    }

    private void pauseForMemory() {
        if (state == State.AWAITING_MEMORY) {
            return; // a further part of the same read: the wait has begun
        }
        state = State.AWAITING_MEMORY;
        pausedAtNanos = System.nanoTime();
        channel.config().setAutoRead(false);
        if (memoryWaiter == null) {
            memoryWaiter = this::resume;
        }
        memory.awaitCapacity(memoryWaiter);
        long waitMillis = (long) Math.min(MAX_MEMORY_WAIT_MILLIS, timeoutMillis / 2);
        memoryTimeout = GuardedTimer.schedule(
                channel.eventLoop(),
                TimeUnit.MILLISECONDS.toNanos(waitMillis),
                reader::rejectForMemory,
                channel.pipeline()::fireExceptionCaught);
    }

    private void resume() {
        endMemoryWait();
        decoder.restartReceiveTimer();
        channel.config().setAutoRead(true);
    }

    private void endMemoryWait() {
        if (state == State.AWAITING_MEMORY) {
            state = State.BUFFERING;
            resumedAtNanos = System.nanoTime();
            memory.cancelWait(memoryWaiter);
            memoryTimeout.cancel(false);
        }
    }

    /** The last byte has come of a request that is buffered; returns its body, null if it has none. */
    BufferedBody complete() {
        if (state == State.AWAITING_MEMORY) {
            resume();
        }
        decoder.onRequestComplete();
        BufferedBody body = detach();
        if (body != null) {
            body.markComplete();
        }
        return body;
    }

    /** Gives what is buffered to the caller, and forgets the request. */
    BufferedBody detach() {
        endMemoryWait();
        BufferedBody body = buffered;
        buffered = null;
        head = null;
        state = State.IDLE;
        return body;
    }

    /** Forwards from here on what comes. */
    void startUpload(StreamingUpload newUpload) {
        upload = newUpload;
        state = State.UPLOADING;
    }

    /** The last byte has come of a request that is forwarded. */
    void completeUpload() {
        decoder.onRequestComplete();
        upload = null;
        state = State.IDLE;
        resumeUpload();
    }

    /** Resumes reading; the time since the last read does not count as silence of the client. */
    void resumeUpload() {
        decoder.resetLastRead();
        channel.config().setAutoRead(true);
    }

    /** Drops the rest of a request that is forwarded: its response has been written. */
    void skipUpload() {
        upload = null;
        state = State.SKIPPING;
        channel.config().setAutoRead(true);
    }

    /** The last byte has come of a request whose rest was dropped. */
    void completeSkipping() {
        state = State.IDLE;
        decoder.onRequestComplete();
    }

    /** Drops the current request and releases its memory; a request that is being skipped remains so. */
    void abort() {
        endMemoryWait();
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        head = null;
        upload = null;
        if (state != State.SKIPPING) {
            state = State.IDLE;
        }
    }

    /** Returns for how long (ms) the last byte read may have waited, in its socket or for an accept. */
    double waitedMillis() {
        long now = System.nanoTime();
        long paused = now - resumedAtNanos < RESUMED_RECENTLY_NANOS ? resumedAtNanos - pausedAtNanos : 0;
        return Math.max(paused, now - channel.readableSince()) / 1e6;
    }
}
