package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery: one watch for each connection, a full list first, then changes, and a blank line every 2 s. */
public final class Discovery implements AutoCloseable {
    private static final long BLANK_LINE_MILLIS = 2_000;

    private final Lab lab;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version = 41;

    public Discovery(Lab lab) throws IOException {
        this.lab = lab;
        this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Host.start(this::accept, "discovery");
        Host.start(this::sendBlankLines, "discovery, blank lines");
        lab.own(this);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Returns the entry of a host that is up. */
    public static String entry(String id, InetSocketAddress address, int cell, String state, long startedMillis) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + Lab.text(address) + "\",\"zone\":\"a\",\"kind\":\"m2\",\"cell\":"
                + cell + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMillis + "}";
    }

    /** Lists a host and announces it. */
    public synchronized void put(String id, String entry) {
        version++;
        if (entry.contains("\"removed\"")) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
        String list = "{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n";
        lab.record("discovery tells: %s", list.strip());
        send(list);
    }

    /** Returns the whole list. */
    public synchronized String list() {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Host.start(() -> serve(socket), "discovery connection");
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try {
            Http.Head head = Http.readHead(new BufferedInputStream(socket.getInputStream()));
            if (head == null) {
                socket.close();
                return;
            }
            synchronized (this) {
                lab.record("discovery is asked: %s", head.startLine());
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.write(chunk(list() + "\n"));
                watches.add(socket);
            }
        } catch (IOException e) {
            lab.record("discovery: a connection has ended: %s", e);
        }
    }

    private void sendBlankLines() {
        try {
            while (!server.isClosed()) {
                Thread.sleep(BLANK_LINE_MILLIS);
                send("\n");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void send(String text) {
        watches.removeIf(socket -> {
            try {
                socket.getOutputStream().write(chunk(text));
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static byte[] chunk(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        for (Socket socket : watches) {
            socket.close();
        }
    }
}
