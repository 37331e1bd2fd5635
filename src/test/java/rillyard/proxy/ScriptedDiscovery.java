package rillyard.proxy;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;

/** A discovery service for tests, which sends the lines that the test announces on the latest watch. */
final class ScriptedDiscovery implements AutoCloseable {
    /** Lines to send on the watch; an empty line ends the watch. */
    final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    /** Request lines of the watches that the proxy has opened. */
    final BlockingQueue<String> watchRequests = new LinkedBlockingQueue<>();

    private final AtomicReference<Thread> currentWatchThread = new AtomicReference<>();
    private final ScriptedServer server;

    ScriptedDiscovery() throws IOException {
        server = new ScriptedServer(this::serveWatch);
    }

    private void serveWatch(TestPeer peer) throws Exception {
        String request = peer.read().startLine();
        Thread previous = currentWatchThread.getAndSet(Thread.currentThread());
        if (previous != null) {
            previous.interrupt(); // lists announced from now on are for the new watch
        }
        watchRequests.add(request);
        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            String line = lines.take();
            if (line.isEmpty()) {
                return; // ends the watch
            }
            peer.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        }
    }

    int port() {
        return server.port();
    }

    /** Sends a full list or a delta on the watch. */
    void announce(int version, boolean full, String... endpoints) {
        lines.add(ProxyFixture.endpointList(version, full, endpoints) + "\n");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
