package rillyard.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A host or a discovery that does to each connection what the test's script says. */
public final class ScriptedServer implements AutoCloseable {
    /** What happens on one connection; the connection is closed after it. */
    public interface Script {
        void serve(TestPeer peer) throws Exception;
    }

    /** The answer to one request. */
    public interface Reply {
        String to(TestPeer.Message request) throws Exception;
    }

    private final ServerSocket server;
    private final Script script;
    private final BlockingQueue<TestPeer> accepted = new LinkedBlockingQueue<>();
    final BlockingQueue<TestPeer.Message> requests = new LinkedBlockingQueue<>();

    public ScriptedServer(Script script) throws IOException {
        this(0, script);
    }

    /** On this port; 0 is any that is free. */
    ScriptedServer(int port, Script script) throws IOException {
        this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        thread(this::accept);
    }

    /** A host that answers each request on a kept connection. */
    public static ScriptedServer host(Reply reply) throws IOException {
        ScriptedServer[] self = new ScriptedServer[1];
        self[0] = new ScriptedServer(peer -> {
            TestPeer.Message message;
            while ((message = peer.read()) != null) {
                self[0].requests.add(message);
                peer.write(reply.to(message));
            }
        });
        return self[0];
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

    /** The next connection that came. */
    TestPeer accepted() throws InterruptedException {
        return accepted.poll(20, TimeUnit.SECONDS);
    }

    /** Whether a connection has come that {@link #accepted} has not returned. */
    boolean acceptedMore() {
        return !accepted.isEmpty();
    }

    TestPeer.Message request() throws InterruptedException {
        return requests.poll(20, TimeUnit.SECONDS);
    }

    private void accept() throws Exception {
        while (true) {
            TestPeer peer = new TestPeer(server.accept());
            accepted.add(peer);
            thread(() -> {
                try (peer) {
                    script.serve(peer);
                }
            });
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the connection or the server ended: the test sees that on its own side
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
