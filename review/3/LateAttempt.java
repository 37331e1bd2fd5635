import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with bodies of 120 kB and leave 20 ms after the last byte. Of seven hosts two have vanished:
 * connections to them never come up.
 */
final class LateAttempt {
    private static final int HOSTS = 7;
    private static final int VANISHED = 2;
    private static final int BURSTS = 6;
    private static final int CLIENTS = 10;
    private static final int BODY_BYTES = 120_000;
    /** An attempt may begin up to 0.1 s after the client's close, with 50 ms of slack. */
    private static final double ALLOWED_MILLIS = 100 + 50;

    private final Map<String, Double> leftAtMillis = new ConcurrentHashMap<>();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final Lab lab;

    private LateAttempt(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new LateAttempt(lab).run());
    }

    private boolean run() throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < HOSTS; i++) {
            if (i < VANISHED && Lab.trouble()) {
                discovery.put("s-" + i, vanishedAddress(), 1, "up");
            } else {
                discovery.put(lab.host("s-" + i, this::onRequest), 1, "up");
            }
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        for (int burst = 0; burst < BURSTS; burst++) {
            Thread[] clients = new Thread[CLIENTS];
            for (int i = 0; i < CLIENTS; i++) {
                String id = "b" + burst + "-" + i;
                clients[i] = Lab.start(id, () -> sendAndLeave(proxy, id));
                Lab.sleep(10);
            }
            for (Thread client : clients) {
                client.join();
            }
            Lab.sleep(1_500);
        }
        lab.tell("hosts ran %d requests, %d of them in an attempt that began too late", ran.get(), late.get());
        return late.get() == 0;
    }

    private boolean onRequest(Lab.Message request, Lab.HostConnection connection) throws Exception {
        String id = request.header("x-request-id");
        Double left = leftAtMillis.get(id);
        double sinceLeft = left == null ? Double.NaN : request.firstByteMillis - left;
        ran.incrementAndGet();
        lab.record(
                "%s: ran %s, %d bytes; its first byte came %s", connection.host.id, id, request.body.length,
                left == null ? "before the client's close" : String.format("%.0f ms after the client's close", sinceLeft));
        if (sinceLeft > ALLOWED_MILLIS) {
            late.incrementAndGet();
            lab.tell("%s: an attempt began %.0f ms after the client's close, and ran at %s", id, sinceLeft,
                    connection.host.id);
        }
        Lab.sleep(100);
        connection.answer("ok " + id);
        return true;
    }

    private void sendAndLeave(Lab.Proxy proxy, String id) throws Exception {
        Lab.Client client = new Lab.Client(proxy.address);
        client.send("POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: visit-claim\r\nX-Timeout-Ms: 800\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        client.send(new byte[BODY_BYTES]);
        lab.record("%s: sent", id);
        Lab.sleep(20);
        client.close();
        leftAtMillis.put(id, lab.millis());
        lab.record("%s: the client has left", id);
    }

    /** Returns an address at which connections never come up: the queue of its listener is full. */
    private String vanishedAddress() throws IOException {
        ServerSocket server = lab.owned(new ServerSocket(0, 1, Lab.LOOPBACK));
        for (int i = 0; i < 4; i++) {
            Socket filler = lab.owned(new Socket());
            try {
                filler.connect(new InetSocketAddress(Lab.LOOPBACK, server.getLocalPort()), 200);
            } catch (IOException e) {
                return "127.0.0.1:" + server.getLocalPort();
            }
        }
        throw new IOException("connections come up though nobody accepts them");
    }
}
