package rillyard.loadgen;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import rillyard.requestlog.ClientOutcome;

/** One attempt over HTTP: encodes the request and verifies the response. Confined to the transport's event loop. */
final class HttpExchange implements Transport.PendingAttempt {
    /** Number of bytes of a response body that are kept for verification. */
    private static final int MAX_KEPT_BYTES = 256;

    /** Largest response body; a larger one counts as garbled. */
    private static final long MAX_RESPONSE_BYTES = 4 << 20;

    private final Transport.OutgoingRequest request;
    private final Transport.Listener listener;
    private final boolean verify;
    private Channel channel;
    private HttpResponse head;
    private final StringBuilder body = new StringBuilder();
    private long bodyBytes;
    private boolean ended;

    HttpExchange(Transport.OutgoingRequest request, Transport.Listener listener, boolean verify) {
        this.request = request;
        this.listener = listener;
        this.verify = verify;
    }

    /** Returns the request of this attempt. */
    Transport.OutgoingRequest request() {
        return request;
    }

    /** Sets the channel that the attempt uses, which {@link #abandon} closes. */
    void channel(Channel newChannel) {
        channel = newChannel;
    }

    /** Returns whether the attempt has ended or was abandoned. */
    boolean ended() {
        return ended;
    }

    @Override
    public void abandon() {
        ended = true;
        channel.close();
    }

    /** Ends the attempt and notifies the listener, unless it has ended before. */
    void end(Transport.AttemptResult result) {
        if (!ended) {
            ended = true;
            listener.onEnded(result);
        }
    }

    /** Returns the encoded request with its body. */
    ByteBuf bytes(ByteBufAllocator alloc) {
        LoadClass requestClass = request.requestClass();
        boolean get = requestClass.semantics() == LoadClass.Semantics.IDEMPOTENT;
        StringBuilder out = new StringBuilder(320);
        out.append(get ? "GET /" : "POST /").append(requestClass.name()).append(" HTTP/1.1\r\nHost: api.internal\r\n");
        header(out, "X-Request-ID", request.id());
        header(out, "X-Priority-Class", requestClass.name());
        header(out, "X-Tenant-Id", request.tenant());
        header(out, "X-Route-Key", request.routeKey());
        header(out, "X-Timeout-Ms", Long.toString(request.timeoutMillis()));
        header(out, "X-Retried", request.retried() ? "1" : null);
        header(out, "Idempotency-Key", request.idempotencyKey());
        if (!get) {
            header(out, "Content-Length", Integer.toString(requestClass.bodyBytes()));
        }
        out.append("\r\n");
        ByteBuf buffer = alloc.buffer(out.length() + requestClass.bodyBytes());
        buffer.writeCharSequence(out, StandardCharsets.US_ASCII);
        if (!get) {
            buffer.writeBytes(payload());
        }
        return buffer;
    }

    private static void header(StringBuilder out, String name, String value) {
        if (value != null) {
            out.append(name).append(": ").append(value).append("\r\n");
        }
    }

    /** Returns a body derived from the request id, so that the checksum detects a body of another request. */
    private byte[] payload() {
        byte[] payload = new byte[request.requestClass().bodyBytes()];
        byte[] id = request.id().getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < payload.length; i++) {
            payload[i] = id[i % id.length];
        }
        return payload;
    }

    /** Called with the head of the final response. */
    void onResponseHead(HttpResponse response) {
        head = response;
    }

    /** Returns whether the head of the final response has been received. */
    boolean hasResponseHead() {
        return head != null;
    }

    /** Called with a part of the response body. Returns false if the body exceeds its limit. */
    boolean onResponseBody(HttpContent content) {
        ByteBuf buffer = content.content();
        bodyBytes += buffer.readableBytes();
        int keptBytes = Math.min(buffer.readableBytes(), MAX_KEPT_BYTES - body.length());
        if (keptBytes > 0) {
            body.append(buffer.toString(buffer.readerIndex(), keptBytes, StandardCharsets.US_ASCII));
        }
        return bodyBytes <= MAX_RESPONSE_BYTES;
    }

    /** Returns the result of a complete response. */
    Transport.AttemptResult result() {
        int status = head.status().code();
        if (status == 200) {
            return new Transport.AttemptResult(
                    !verify || belongsToRequest() ? ClientOutcome.SERVED : ClientOutcome.GARBLED, status, 0);
        }
        if (status == 429 || status == 503) {
            return new Transport.AttemptResult(ClientOutcome.REFUSED, status, retryAfterMicros());
        }
        return new Transport.AttemptResult(ClientOutcome.FAILED, status, 0);
    }

    /** Returns whether the response names this request and the body that was sent with it. */
    private boolean belongsToRequest() {
        String text = body.toString();
        if (!text.startsWith("id=" + request.id() + " ")) {
            return false;
        }
        byte[] sentBody =
                request.requestClass().semantics() == LoadClass.Semantics.IDEMPOTENT ? new byte[0] : payload();
        CRC32 crc = new CRC32();
        crc.update(sentBody);
        return text.stripTrailing().endsWith(" len=" + sentBody.length + " crc=" + Long.toHexString(crc.getValue()));
    }

    private long retryAfterMicros() {
        String value = head.headers().get(HttpHeaderNames.RETRY_AFTER);
        try {
            double seconds = value == null ? 0 : Double.parseDouble(value.trim());
            return seconds > 0 && seconds < 1e6 ? (long) (1e6 * seconds) : 0;
        } catch (NumberFormatException e) {
            return 0; // dates are not supported, and a malformed value is ignored
        }
    }
}
