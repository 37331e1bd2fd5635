package rillyard.proxy;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One end of a TCP connection for tests, which reads and writes raw HTTP as a client, a host or discovery. */
public final class TestPeer implements AutoCloseable {
    /** Time after which a read fails, so that no test waits indefinitely. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** A received request or response: its head without the blank line at the end, and its body. */
    public record Message(String head, byte[] body) {
        String startLine() {
            return head.split("\r\n", 2)[0];
        }

        public int status() {
            return Integer.parseInt(startLine().split(" ")[1]);
        }

        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    final Socket socket;
    private final InputStream in;

    public TestPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        this.in = socket.getInputStream();
    }

    static TestPeer connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return new TestPeer(socket);
    }

    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads and returns the next complete message; null if the connection ended before its first byte. */
    public Message read() throws IOException {
        String head = readHead();
        if (head == null) {
            return null;
        }
        Message message = new Message(head, new byte[0]);
        if (message.header("Transfer-Encoding") != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int length;
            while ((length = Integer.parseInt(readLine(), 16)) > 0) {
                body.write(readExactly(length));
                readLine();
            }
            readLine();
            return new Message(head, body.toByteArray());
        }
        String length = message.header("Content-Length");
        return length == null ? message : new Message(head, readExactly(Integer.parseInt(length)));
    }

    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        while (true) {
            String line = readLine();
            if (line == null && head.length() == 0) {
                return null;
            }
            if (line == null) {
                throw new EOFException("connection ended within a message head: " + head);
            }
            if (line.isEmpty()) {
                return head.toString();
            }
            head.append(line).append("\r\n");
        }
    }

    public String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int bytes;
        while ((bytes = in.read()) != '\n') {
            if (bytes < 0) {
                return line.length() == 0 ? null : line.toString();
            }
            if (bytes != '\r') {
                line.append((char) bytes);
            }
        }
        return line.toString();
    }

    byte[] readExactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Discards input until the other side has closed or reset the connection. */
    public void awaitEnd() throws IOException {
        try {
            byte[] rest = new byte[8_192];
            int count;
            do {
                count = in.read(rest);
            } while (count >= 0);
        } catch (java.net.SocketException e) {
            // The connection was reset.
        }
    }

    /** Closes the connection with a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
