package rillyard.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import rillyard.proxy.resources.ConnectionLimits;
import rillyard.proxy.resources.HeaderMemoryAccount;

/**
 * Decodes the responses of a host strictly, and records whether and when bytes of the current response were read.
 *
 * <p>Confined to the event loop.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private final HeaderMemoryAccount headerMemory;
    private boolean hasResponseBegun;
    private long lastReadNanos;

    /** Creates a decoder whose header sections are charged to {@code headerMemory}. */
    UpstreamResponseDecoder(HeaderMemoryAccount headerMemory) {
        super(ConnectionLimits.decoderConfig(headerMemory));
        this.headerMemory = headerMemory;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        hasResponseBegun = true;
        lastReadNanos = System.nanoTime();
        super.channelRead(ctx, msg);
    }

    /** Prepares for the response to the next request. */
    void onRequestStarted() {
        hasResponseBegun = false;
    }

    /** Prepares for the response after an interim one, of which bytes may have been read already. */
    void onInterimResponseEnd() {
        releaseHeaderMemory();
        hasResponseBegun = hasSurplusBytes();
    }

    /** Returns the memory of the response's header section to its budget, as the response has been handled. */
    void releaseHeaderMemory() {
        headerMemory.release();
    }

    /** Restarts the time since the last read, after the proxy itself has paused reading. */
    void onReadingResumed() {
        lastReadNanos = System.nanoTime();
    }

    /** Returns whether any byte has been read since the current request was started, interim responses excluded. */
    boolean hasResponseBegun() {
        return hasResponseBegun;
    }

    /** Returns the time ({@link System#nanoTime}) of the last read. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns whether bytes after the end of the decoded response have been read. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    /** Rejects a message with both headers, which may contradict each other about its length (RFC 9112, 6.3). */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Rejects a header line without a colon, which the base class accepts as a field without a value (RFC 9112, 5). */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int colon = start + length;
        if (length == 0 || colon >= line.length || line[colon] != ':') {
            throw new IllegalArgumentException("a header line is not name:value");
        }
        return super.splitHeaderName(line, start, length);
    }
}
