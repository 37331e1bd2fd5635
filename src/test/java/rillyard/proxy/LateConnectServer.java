package rillyard.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A TCP server whose accept backlog is full, so that the next connect to it stays pending. After {@link #freeBacklog}
 * the connect completes when the connecting kernel retransmits its SYN, 1 s after the first.
 */
final class LateConnectServer implements AutoCloseable {
    private final ServerSocket server;
    private final List<Socket> backlog = new ArrayList<>();

    LateConnectServer() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < 2; i++) { // a backlog of 1 holds two connections
            backlog.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Accepts and closes the connections that fill the backlog, so that the pending connect can complete. */
    void freeBacklog() throws IOException {
        for (int i = 0; i < backlog.size(); i++) {
            server.accept().close();
        }
    }

    /** Waits for the pending connect to complete and returns its connection. */
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
