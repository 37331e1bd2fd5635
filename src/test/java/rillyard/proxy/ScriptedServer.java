package rillyard.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A TCP server for tests that acts as a host or as discovery. It runs the test's script for each connection, on one
 * thread per connection.
 */
public final class ScriptedServer implements AutoCloseable {
    /** Serves one connection, which is closed when the script ends. */
    public interface Script {
        void serve(TestPeer peer) throws Exception;
    }

    /** Creates the response to one request. */
    public interface Reply {
        String respond(TestPeer.Message request) throws Exception;
    }

    private final ServerSocket server;
    private final Script script;
    private final BlockingQueue<TestPeer> accepted = new LinkedBlockingQueue<>();
    final BlockingQueue<TestPeer.Message> requests = new LinkedBlockingQueue<>();

    public ScriptedServer(Script script) throws IOException {
        this(0, script);
    }

    /** Creates a server on a port of loopback; 0 selects any free port. */
    ScriptedServer(int port, Script script) throws IOException {
        this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        startThread(this::acceptConnections);
    }

    /** Creates a host with persistent connections, which answers each request with {@code reply}. */
    public static ScriptedServer host(Reply reply) throws IOException {
        ScriptedServer[] server = new ScriptedServer[1];
        server[0] = new ScriptedServer(peer -> {
            TestPeer.Message message;
            while ((message = peer.read()) != null) {
                server[0].requests.add(message);
                peer.write(reply.respond(message));
            }
        });
        return server[0];
    }

    public static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    public static String status(int code, String headers) {
        return "HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n" + headers + "\r\n";
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Removes and returns the next accepted connection; null if there is none within 20 s. */
    TestPeer nextConnection() throws InterruptedException {
        return accepted.poll(20, TimeUnit.SECONDS);
    }

    /** Returns whether a connection was accepted that {@link #nextConnection} has not returned. */
    boolean hasMoreConnections() {
        return !accepted.isEmpty();
    }

    /** Removes and returns the next request that a {@link #host} received; null if there is none within 20 s. */
    TestPeer.Message nextRequest() throws InterruptedException {
        return requests.poll(20, TimeUnit.SECONDS);
    }

    private void acceptConnections() throws Exception {
        while (true) {
            TestPeer peer = new TestPeer(server.accept());
            accepted.add(peer);
            startThread(() -> {
                try (peer) {
                    script.serve(peer);
                }
            });
        }
    }

    private interface ThrowingTask {
        void run() throws Exception;
    }

    private static void startThread(ThrowingTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the server was closed, which the test notices on its own connections.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (TestPeer peer : accepted) {
            peer.close();
        }
    }
}
