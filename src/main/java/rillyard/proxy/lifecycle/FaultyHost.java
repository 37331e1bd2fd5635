package rillyard.proxy.lifecycle;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A host on the loopback address whose responses fail in the way that a request header selects.
 *
 * <p>Used by {@link FaultPathTraining} only. It serves one request per connection, each on its own daemon thread.
 */
final class FaultyHost implements AutoCloseable {
    /** Request header that names a {@link Behavior}. */
    static final String BEHAVIOR_HEADER = "X-Behavior";

    /** A response to a request, or a fault instead of it. */
    enum Behavior {
        /** A short response. */
        OK,
        /** A response with status 500. */
        ERROR,
        /** A response with status 503 which states that the request was not processed. */
        REJECTED,
        /** Bytes that are not a valid response. */
        MALFORMED,
        /** A connection reset without a response. */
        RESET,
        /** A connection close without a response. */
        CLOSED,
        /** No response on a connection that stays open. */
        SILENT,
        /** A response without a length, which ends when its connection is closed. */
        UNBOUNDED,
        /** A response whose body exceeds what a proxy buffers. */
        LONG,
        /** A chunked response. */
        CHUNKED,
        /** A long response that is reset halfway. */
        TRUNCATED
    }

    private static final byte[] LONG_BODY = new byte[200_000];

    private final ServerSocket server;

    /**
     * Starts a host on a free port.
     *
     * @throws IOException if it can't listen
     */
    FaultyHost() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "faulty-host");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException ignored) {
            // the server socket was closed
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            readLine(in);
            Behavior behavior = Behavior.OK;
            int remainingBytes = 0;
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                String value = line.substring(line.indexOf(':') + 1).trim();
                if (startsWithIgnoringCase(line, BEHAVIOR_HEADER)) {
                    behavior = Behavior.valueOf(value);
                } else if (startsWithIgnoringCase(line, "Content-Length")) {
                    remainingBytes = Integer.parseInt(value);
                }
            }
            in.skipNBytes(remainingBytes);
            respond(behavior, socket);
        } catch (IOException ignored) {
            // the proxy has closed the connection
        }
    }

    private static boolean startsWithIgnoringCase(String line, String name) {
        return line.regionMatches(true, 0, name, 0, name.length());
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("end of stream within a request");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private static void respond(Behavior behavior, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        switch (behavior) {
            case OK -> write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            case ERROR -> write(out, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
            case REJECTED ->
                write(
                        out,
                        "HTTP/1.1 503 Rejected\r\nContent-Length: 0\r\nRetry-After: 0.05\r\nX-Not-Processed: 1\r\n\r\n");
            case MALFORMED -> write(out, "HTTP/1.1 none\r\n:\r\n\r\n");
            case RESET -> socket.setSoLinger(true, 0);
            case CLOSED -> {} // the connection is closed by the caller
            case SILENT -> socket.getInputStream().readAllBytes();
            case UNBOUNDED -> writeLongBody(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", LONG_BODY.length);
            case LONG -> writeLongBody(out, headWithLength(), LONG_BODY.length);
            case CHUNKED ->
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3\r\n...\r\n0\r\n\r\n");
            case TRUNCATED -> {
                writeLongBody(out, headWithLength(), LONG_BODY.length / 2);
                socket.setSoLinger(true, 0);
            }
        }
    }

    private static String headWithLength() {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY.length + "\r\n\r\n";
    }

    private static void writeLongBody(OutputStream out, String head, int length) throws IOException {
        write(out, head);
        out.write(LONG_BODY, 0, length);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
