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

/** One end of a connection, spoken byte by byte: a client's, a host's or discovery's. */
public final class TestPeer implements AutoCloseable {
    /** Reads give up after this long: a test that waits for ever is a failure too. */
    private static final int READ_TIMEOUT_MS = 20_000;

    /** A message as it came: its head without the blank line, and its body. */
    public record Message(String head, byte[] body) {
        String line() {
            return head.split("\r\n", 2)[0];
        }

        public int status() {
            return Integer.parseInt(line().split(" ")[1]);
        }

        String header(String name) {
            for (String l : head.split("\r\n")) {
                if (l.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return l.substring(name.length() + 1).trim();
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
        socket.setSoTimeout(READ_TIMEOUT_MS);
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

    /** The next message, whole; null if the connection ended before its first byte. */
    public Message read() throws IOException {
        String head = readHead();
        if (head == null) {
            return null;
        }
        Message message = new Message(head, new byte[0]);
        if (message.header("Transfer-Encoding") != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int n;
            while ((n = Integer.parseInt(readLine(), 16)) > 0) {
                body.write(exactly(n));
                readLine();
            }
            readLine();
            return new Message(head, body.toByteArray());
        }
        String length = message.header("Content-Length");
        return length == null ? message : new Message(head, exactly(Integer.parseInt(length)));
    }

    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        while (true) {
            String line = readLine();
            if (line == null && head.length() == 0) {
                return null;
            }
            if (line == null) {
                throw new EOFException("within a head: " + head);
            }
            if (line.isEmpty()) {
                return head.toString();
            }
            head.append(line).append("\r\n");
        }
    }

    public String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                return line.length() == 0 ? null : line.toString();
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    byte[] exactly(int n) throws IOException {
        byte[] b = in.readNBytes(n);
        if (b.length < n) {
            throw new EOFException("after " + b.length + " of " + n + " bytes");
        }
        return b;
    }

    /** Waits for the other side to end the connection, by whatever means. */
    public void awaitEnd() throws IOException {
        try {
            byte[] rest = new byte[8_192];
            while (in.read(rest) >= 0) {
                continue;
            }
        } catch (java.net.SocketException e) {
            // a reset is an end too
        }
    }

    /** Ends the connection by a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
