package rillyard.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes the responses of a host strictly, and tells whether and when bytes of the present response have come.
 *
 * <p>Confined to the event loop.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private boolean hasBegun;
    private long lastReadNanos;

    UpstreamResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        hasBegun = true;
        lastReadNanos = System.nanoTime();
        super.channelRead(ctx, msg);
    }

    /** Prepares for the response to the next request. */
    void onRequestStarted() {
        hasBegun = false;
    }

    /** Prepares for the response behind an interim one, of which bytes may have been read already. */
    void onInterimResponseEnd() {
        hasBegun = hasSurplusBytes();
    }

    /** Restarts the time since the last read, after a pause in reading that was the proxy's own. */
    void onReadingResumed() {
        lastReadNanos = System.nanoTime();
    }

    /** Returns whether any byte has been read since the present request was started, interim responses excluded. */
    boolean hasBegun() {
        return hasBegun;
    }

    /** Returns the time ({@link System#nanoTime}) of the last read. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Returns whether bytes have been read that lie behind the end of the decoded response. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    /** Rejects a message with both lengths, which may contradict each other (RFC 9112, 6.3). */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Rejects a header line without a colon, which the base class takes for a field without a value (RFC 9112, 5). */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int colon = start + length;
        if (length == 0 || colon >= line.length || line[colon] != ':') {
            throw new IllegalArgumentException("a header line is not name:value");
        }
        return super.splitHeaderName(line, start, length);
    }
}
