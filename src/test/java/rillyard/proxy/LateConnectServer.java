package rillyard.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A host whose accept backlog is full: the next connect stays pending until {@link #freeBacklog}, and completes when the
 * connecting kernel sends its SYN again, 1 s after the first.
 */
final class LateConnectServer implements AutoCloseable {
    private final ServerSocket server;
    private final List<Socket> backlog = new ArrayList<>();

    LateConnectServer() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < 2; i++) { // a backlog of one holds two
            backlog.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Accepts and closes the connections that fill the backlog. */
    void freeBacklog() throws IOException {
        for (int i = 0; i < backlog.size(); i++) {
            server.accept().close();
        }
    }

    /** Accepts the connection that was pending. */
    TestPeer accept() throws IOException {
        server.setSoTimeout(20_000);
        return new TestPeer(server.accept());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : backlog) {
            socket.close();
        }
        server.close();
    }
}
