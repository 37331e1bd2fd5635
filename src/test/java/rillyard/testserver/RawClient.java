package rillyard.testserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection that a test speaks byte by byte. */
public final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;

    public final Socket socket = new Socket();
    private final InputStream in;

    public RawClient(InetSocketAddress address) throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(address);
        in = socket.getInputStream();
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A request as the proxy sends it; {@code key} may be null. */
    public static String request(String requestClass, String id, String key, String body) {
        return (body == null ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Timeout-Ms: 10000\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (body == null ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Head and body of the next answer with a length, or null if the connection ended before. */
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

    /** A line of an answer without a length, as a watch has them; null at the end. */
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
