package lab2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment with the classes of the site: discovery, some hosts of one cell, and one proxy. */
public final class Deployment {
    /** A class that may not be repeated: 400 ms are wanted, 800 ms are the client's time. */
    public static final String CLAIM = "visit-claim";

    /** A class with an idempotency key: 400 ms are wanted, 1.2 s are the client's time. */
    public static final String LOG = "visit-log";

    private static final int WINDOW_MILLIS = 750;

    private final Lab lab;
    private final Discovery discovery;
    private final List<Host> hosts = new ArrayList<>();

    /** Starts discovery and hosts that answer with {@code handler}. */
    public Deployment(Lab lab, int hostCount, Host.Handler handler) throws IOException {
        this.lab = lab;
        this.discovery = new Discovery(lab);
        for (int i = 0; i < hostCount; i++) {
            Host host = new Host(lab, "h" + i, handler);
            hosts.add(host);
            discovery.put(host.name(), Discovery.entry(host.name(), host.address(), 1, "up", 0));
        }
    }

    /** Returns the settings of the deployment; hosts drop repeats of a key for {@code windowMillis}. */
    public static String settings(int windowMillis) {
        return Settings.of(
                1,
                Settings.requestClass(CLAIM, 400, 800, "at_most_once", "all", 5_000),
                Settings.requestClass(LOG, 400, 1_200, "deduplicated", "cell", windowMillis));
    }

    /** Starts the proxy within the platform's limits and waits until it is ready. */
    public Lab.Proxy startProxy(int memoryMb, int sockets) throws IOException, InterruptedException {
        return startProxy(memoryMb, sockets, WINDOW_MILLIS);
    }

    /** As the other method, with the time for which hosts drop repeats of a key. */
    public Lab.Proxy startProxy(int memoryMb, int sockets, int windowMillis) throws IOException, InterruptedException {
        Lab.Proxy proxy = lab.startProxy(
                "n0",
                discovery.address(),
                discovery.list(),
                new Lab.Limits(memoryMb, sockets),
                settings(windowMillis),
                Map.of());
        proxy.awaitReady();
        return proxy;
    }

    public Discovery discovery() {
        return discovery;
    }

    public List<Host> hosts() {
        return hosts;
    }

    /** Returns the head of a request without the lines that tell its length. */
    public static String head(String requestClass, String id, int timeoutMillis) {
        return "POST /" + requestClass + "/x HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n"
                + (requestClass.equals(LOG) ? "Idempotency-Key: key-" + id + "\r\n" : "");
    }

    /** Returns a complete request with a short body. */
    public static String request(String requestClass, String id, int timeoutMillis) {
        return head(requestClass, id, timeoutMillis) + "Content-Length: 2\r\n\r\nhi";
    }

    /** Connects to the proxy, with a time limit for each read. */
    public static Socket connect(InetSocketAddress proxy, int readTimeoutMillis) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(proxy, 5_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readTimeoutMillis);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Reads one answer and returns its status and body, or null at the end of the connection. */
    public static String readAnswer(InputStream in) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            return null;
        }
        String body = new String(Http.readBody(head, in), java.nio.charset.StandardCharsets.ISO_8859_1);
        return (head.status() + " " + body).strip();
    }
}
