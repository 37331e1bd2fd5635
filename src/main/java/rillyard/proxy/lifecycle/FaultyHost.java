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
 * A host on loopback whose responses fail in the way that a header of the request names.
 *
 * <p>Used by {@link FaultPathTraining} alone. It serves one request a connection, on a daemon thread each.
 */
final class FaultyHost implements AutoCloseable {
    /** The header of a request that names a {@link Behavior}. */
    static final String BEHAVIOR_HEADER = "X-Behavior";

    /** A response, or the fault in its place. */
    enum Behavior {
        /** A short response. */
        OK,
        /** Status 500. */
        ERROR,
        /** Status 503 of a request that was not processed. */
        REJECTED,
        /** Bytes that are no response. */
        MALFORMED,
        /** A reset in place of a response. */
        RESET,
        /** An end of the connection in place of a response. */
        CLOSED,
        /** No response. */
        SILENT,
        /** A response without a length, which ends with its connection. */
        UNBOUNDED,
        /** A response that is longer than a proxy buffers. */
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
            // closed
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
            case UNBOUNDED -> writeLong(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", LONG_BODY.length);
            case LONG -> writeLong(out, lengthHead(), LONG_BODY.length);
            case CHUNKED ->
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3\r\n...\r\n0\r\n\r\n");
            case TRUNCATED -> {
                writeLong(out, lengthHead(), LONG_BODY.length / 2);
                socket.setSoLinger(true, 0);
            }
        }
    }

    private static String lengthHead() {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY.length + "\r\n\r\n";
    }

    private static void writeLong(OutputStream out, String head, int length) throws IOException {
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
