package lab2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages, as a sound client or server does. */
public final class Http {
    private static final int MAX_HEAD_BYTES = 65_536;

    private Http() {}

    /** The start line and the headers of a message, by name in lower case. */
    public record Head(String startLine, Map<String, String> headers) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** Reads a head; returns null at the end of the connection. */
    public static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            bytes.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("a head without end");
            }
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).strip().split("\r\n");
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        return new Head(lines[0], headers);
    }

    /** Reads the body of a message; throws if it is not complete. */
    public static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!readLine(in).isEmpty()) {
                        // trailers are not used
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(in, size));
                if (!readLine(in).isEmpty()) {
                    throw new IOException("a chunk is longer than its size");
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
