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
import rillyard.proxy.resources.ReceivedHeaders;

/**
 * Receives the body of the current request of one client connection: buffers it up to a limit, forwards a longer one,
 * and pauses reading while memory is exhausted or the host accepts no more.
 */
final class RequestBodyReceiver {
    /** How the body of the current request is handled. */
    private enum State {
        /** No request is being received. */
        IDLE,
        /** The head has been received, and the body is buffered. */
        BUFFERING,
        /** As {@link #BUFFERING}, while reading is paused because memory is exhausted. */
        AWAITING_MEMORY,
        /** The body is forwarded to a host as it arrives. */
        UPLOADING,
        /** The response was written before the end of the request, whose rest is discarded. */
        SKIPPING
    }

    /** What the connection has to do after a part of a body was appended. */
    enum AppendResult {
        /** Continue reading. */
        CONTINUE,
        /** Reject the request: its body is longer than allowed. */
        TOO_LARGE,
        /** Dispatch the request and forward its body, which is longer than may be buffered. */
        UPLOAD,
        /** Reject the request: the memory that it waits for is held by other incomplete requests, which also wait. */
        MEMORY_DEADLOCK
    }

    /** Longest wait for memory; half of the request's timeout if that is shorter. */
    private static final double MAX_MEMORY_WAIT_MILLIS = 400;

    /** Bytes of a forwarded body that are read ahead of its host, so that its end, or a close, is noticed in time. */
    private static final long MAX_READ_AHEAD_BYTES = 1024 * 1024;

    /** Time for which a host may always pause, however short the request's timeout is. */
    private static final long MIN_OVERDUE_NANOS = 250_000_000L;

    /** Interval at which the timeouts are checked of a connection whose host is behind. */
    private static final long UPLOAD_CHECK_NANOS = 50_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

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
    private long beginningSentSinceNanos;
    /** Null unless the body is, or was, forwarded. */
    private ReceiveHistory history;

    private Runnable memoryWaiter;
    private Future<?> memoryTimeout;
    private boolean isUploadCheckScheduled;

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

    /** Starts a request, whose head has been received. */
    void start(HttpRequest requestHead) {
        head = requestHead;
        receivedBytes = 0;
        history = null;
        beginningSentSinceNanos = decoder.inputSentSinceNanos();
        state = State.BUFFERING;
    }

    /** Records that the request is a health check of the proxy itself. */
    void onHealthCheck() {
        healthCheck = true;
    }

    /** Records that the request may be dispatched. */
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

    /** Appends a part of the body; the caller keeps its reference. */
    AppendResult append(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        if (receivedBytes > BufferedBody.MAX_BYTES
                || (healthCheck && receivedBytes > BufferedBody.MAX_BUFFERED_BYTES)) {
            return AppendResult.TOO_LARGE;
        }
        if (state == State.UPLOADING) {
            upload.append(bytes);
            history.onReceived(receivedBytes, System.nanoTime());
            pauseUploadIfNeeded();
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
            return; // another part of the same read: the wait has begun
        }
        state = State.AWAITING_MEMORY;
        channel.pauseReading();
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
        channel.resumeReading();
    }

    private void endMemoryWait() {
        if (state == State.AWAITING_MEMORY) {
            state = State.BUFFERING;
            memory.cancelWait(memoryWaiter);
            memoryTimeout.cancel(false);
        }
    }

    /** Completes a buffered request, whose last byte has been received; returns its body, or null if it has none. */
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

    /** Ends the request; returns its buffered body, which the caller takes over, or null if it has none. */
    BufferedBody detach() {
        endMemoryWait();
        BufferedBody body = buffered;
        buffered = null;
        head = null;
        state = State.IDLE;
        return body;
    }

    /** From now on forwards the body as it arrives. */
    void startUpload(StreamingUpload newUpload) {
        upload = newUpload;
        state = State.UPLOADING;
        history = new ReceiveHistory();
        history.onReceived(receivedBytes, System.nanoTime());
        channel.resumeReading(); // held input may have been handled since a pause
        pauseUploadIfNeeded();
    }

    /**
     * Pauses reading once the host is behind by a limit, or the request waits for a host and has reached it: only by
     * reading are the end of the body, with which its time begins, and a close behind it noticed.
     */
    private void pauseUploadIfNeeded() {
        if (upload.hasCapacity()) {
            return;
        }
        long bufferedBytes = upload.bufferedBytes();
        if (bufferedBytes >= MAX_READ_AHEAD_BYTES || memory.isExhausted(bufferedBytes)) {
            channel.pauseReading();
            scheduleUploadCheck();
        }
    }

    private void scheduleUploadCheck() {
        if (!isUploadCheckScheduled) {
            isUploadCheckScheduled = true;
            GuardedTimer.schedule(
                    channel.eventLoop(),
                    UPLOAD_CHECK_NANOS,
                    this::checkUpload,
                    channel.pipeline()::fireExceptionCaught);
        }
    }

    private void checkUpload() {
        isUploadCheckScheduled = false;
        if (state == State.UPLOADING) {
            reader.enforceTimeouts(System.nanoTime());
            scheduleUploadCheck();
        }
    }

    /** Completes a forwarded request, whose last byte has been received. */
    void completeUpload() {
        decoder.onRequestComplete();
        upload = null;
        state = State.IDLE;
        resumeUpload();
    }

    /** Passes what has been gathered of the body to the host. */
    void flushUpload() {
        if (state == State.UPLOADING) {
            upload.flush();
        }
    }

    /** Resumes reading; the time since the last read does not count as inactivity of the client. */
    void resumeUpload() {
        decoder.resetLastRead();
        channel.resumeReading();
    }

    /** Discards the rest of a forwarded request, whose response has been written. */
    void skipUpload() {
        upload = null;
        state = State.SKIPPING;
        channel.resumeReading();
    }

    /** Completes a request whose rest was discarded; its last byte has been received. */
    void completeSkipping() {
        state = State.IDLE;
        decoder.onRequestComplete();
    }

    /** Discards the current request and releases its memory; the rest of a skipped request is still skipped. */
    void abort() {
        endMemoryWait();
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        if (head != null) {
            ReceivedHeaders.release(head.headers());
            head = null;
        }
        upload = null;
        if (state != State.SKIPPING) {
            state = State.IDLE;
        }
    }

    /** Returns how long the last byte that was read may have waited in the socket, or its connection for an accept. */
    double waitedMillis() {
        return (System.nanoTime() - sentSinceNanos(receivedBytes, decoder.inputSentSinceNanos())) / NANOS_PER_MILLI;
    }

    private long sentSinceNanos(long position, long inputSentSinceNanos) {
        return history == null
                ? inputSentSinceNanos
                : Math.max(inputSentSinceNanos, history.sentSinceNanos(position, beginningSentSinceNanos));
    }

    /** Returns the timeout of the request, at least the time for which a host may always pause. */
    long timeoutNanos() {
        return Math.max(MIN_OVERDUE_NANOS, (long) (timeoutMillis * NANOS_PER_MILLI));
    }

    /**
     * Returns whether the time of a forwarded request may be up at {@code nowNanos}: its last byte may have been sent
     * that long ago, and waits unread because the host is behind.
     */
    boolean isOverdue(long nowNanos) {
        if (state != State.UPLOADING || !channel.hasUnreadInput()) {
            return false;
        }
        long lastByte = upload.contentLength() >= 0 ? upload.contentLength() : receivedBytes + 1;
        if (!history.mayHaveBeenSent(lastByte)) {
            return false;
        }
        return nowNanos - sentSinceNanos(lastByte, channel.sentSinceNanos()) > timeoutNanos();
    }
}
