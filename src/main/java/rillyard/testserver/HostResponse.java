package rillyard.testserver;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/**
 * Builds the responses of simulated hosts. The body of a successful response names the request, the host and what the
 * host received, so that a client can detect a response to another request:
 *
 * <pre>id=9b1f03aa host=s-3 len=212 crc=1c291ca3</pre>
 *
 * <p>It is padded with spaces to the size that the class specifies.
 */
public final class HostResponse {
    private static final byte[] NON_HTTP_BYTES =
            "\u0001\u0002 this is no answer \u0003\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private HostResponse() {}

    /**
     * Returns the body of a successful response, without padding.
     *
     * @param length length of the request body in bytes
     * @param crc CRC-32 of the request body
     */
    public static String body(String id, String host, long length, long crc) {
        return "id=" + id + " host=" + host + " len=" + length + " crc=" + Long.toHexString(crc);
    }

    /**
     * Returns a successful response.
     *
     * @param load value of {@code X-Server-Load}, or null for none
     */
    static ByteBuf success(ByteBufAllocator alloc, HostRequest request, String host, String load) {
        String body = body(request.id(), host, request.bodyBytes(), request.crc());
        int size = Math.max(body.length(), request.spec().responseBytes());
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n"
                + (load == null ? "" : "X-Server-Load: " + load + "\r\n") + "\r\n";
        ByteBuf buffer = alloc.buffer(head.length() + size);
        buffer.writeCharSequence(head, StandardCharsets.US_ASCII);
        buffer.writeCharSequence(body, StandardCharsets.US_ASCII);
        for (int i = body.length(); i < size; i++) {
            buffer.writeByte(' ');
        }
        return buffer;
    }

    /**
     * Returns a response with an empty body.
     *
     * @param notProcessed whether to mark the request as not processed
     * @param close whether to announce that the connection will be closed
     */
    static ByteBuf status(ByteBufAllocator alloc, int status, boolean notProcessed, boolean close) {
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n"
                + (notProcessed ? "X-Not-Processed: 1\r\n" : "")
                + (close ? "Connection: close\r\n" : "") + "\r\n";
        ByteBuf buffer = alloc.buffer(head.length());
        buffer.writeCharSequence(head, StandardCharsets.US_ASCII);
        return buffer;
    }

    /** Returns a response with a plain-text body. */
    static ByteBuf text(ByteBufAllocator alloc, int status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n";
        ByteBuf buffer = alloc.buffer(head.length() + body.length);
        buffer.writeCharSequence(head, StandardCharsets.US_ASCII);
        buffer.writeBytes(body);
        return buffer;
    }

    /**
     * Returns one of four malformed responses, chosen by the low two bits of {@code variant}: bytes that are not
     * HTTP, an unterminated header, a negative content length, or an invalid status code.
     */
    static ByteBuf malformed(ByteBufAllocator alloc, int variant) {
        ByteBuf buffer = alloc.buffer(64);
        switch (variant & 3) {
            case 0 -> buffer.writeBytes(NON_HTTP_BYTES);
            case 1 ->
                buffer.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Half", StandardCharsets.US_ASCII);
            case 2 ->
                buffer.writeCharSequence(
                        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nspoilt", StandardCharsets.US_ASCII);
            default ->
                buffer.writeCharSequence(
                        "HTTP/1.1 2x0 OK\r\nContent-Length: 6\r\n\r\nspoilt", StandardCharsets.US_ASCII);
        }
        return buffer;
    }
}
