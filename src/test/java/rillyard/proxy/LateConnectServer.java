package rillyard.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A host whose queue of connections is full: the next connect waits, and comes up some time after
 * {@link #makeRoom}, when the kernel of the one that connects asks again (1 s after the first time).
 */
final class LateConnectServer implements AutoCloseable {
    private final ServerSocket server;
    private final List<Socket> filling = new ArrayList<>();

    LateConnectServer() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        for (int i = 0; i < 2; i++) { // a backlog of one holds two
            filling.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Takes those that fill the queue out of it. */
    void makeRoom() throws IOException {
        for (int i = 0; i < filling.size(); i++) {
            server.accept().close();
        }
    }

    /** The connection that was late. */
    TestPeer accept() throws IOException {
        server.setSoTimeout(20_000);
        return new TestPeer(server.accept());
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : filling) {
            socket.close();
        }
        server.close();
    }
}
