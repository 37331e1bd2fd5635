package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A host of the service: one thread for each connection, which answers as the case says. */
public final class Host implements AutoCloseable {
    /** A request that has come to its last byte. */
    public record Request(String method, String path, String id, Http.Head head, byte[] body, Socket socket) {}

    /** Answers a request; an exception ends the connection. */
    public interface Handler {
        void handle(Request request, OutputStream out) throws Exception;
    }

    private final Lab lab;
    private final String name;
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    public Host(Lab lab, String name, Handler handler) throws IOException {
        this.lab = lab;
        this.name = name;
        this.handler = handler;
        this.server = new ServerSocket(0, 1_024, InetAddress.getByName("127.0.0.1"));
        start(this::accept, "host " + name);
        lab.own(this);
    }

    static void start(Runnable body, String name) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    public String name() {
        return name;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> serve(socket), "host " + name + " connection");
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                byte[] body = Http.readBody(head, in);
                String[] start = head.startLine().split(" ");
                handler.handle(
                        new Request(start[0], start[1], head.header("x-request-id"), head, body, socket), out);
                out.flush();
            }
        } catch (Exception e) {
            lab.record("host %s: a connection has ended: %s", name, e);
        } finally {
            open.remove(socket);
        }
    }

    /** Returns a complete answer with this status and body. */
    public static byte[] answer(String status, String body) {
        return ("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
