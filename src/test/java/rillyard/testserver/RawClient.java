package rillyard.testserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking client that writes raw bytes and reads raw responses, for tests of malformed and partial traffic. */
public final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;

    public final Socket socket = new Socket();
    private final InputStream in;

    /** Connects to an address. Reads time out after 20 seconds. */
    public RawClient(InetSocketAddress address) throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(address);
        in = socket.getInputStream();
    }

    /** Writes the text as ISO-8859-1. */
    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Returns a request as the proxy sends it.
     *
     * @param key idempotency key, or null for none
     * @param body request body, or null for a GET without one
     */
    public static String request(String requestClass, String id, String key, String body) {
        return (body == null ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Timeout-Ms: 10000\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (body == null ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /**
     * Returns the next response, which must have a content length, with its head; null if the connection was closed
     * before it, or the partial head if it was closed within the head.
     */
    public String readResponse() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.isEmpty() ? null : head.toString();
            }
            head.append((char) next);
        }
        int length = Integer.parseInt(head.toString().replaceAll("(?si).*content-length: *(\\d+).*", "$1"));
        return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /** Returns the next line of a streamed response, as a watch sends them; null at the end of the stream. */
    public String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
