import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ten usual clients send small requests to six sound hosts. For three seconds 320 other clients have stopped within
 * the head of a request and stay; after that they are gone.
 */
final class StoppedHeads {
    private static final int USUAL_CLIENTS = 10;
    private static final int STOPPED_CLIENTS = 320;
    /** Bytes of an incomplete head; the proxy accepts heads of up to 16 KiB. */
    private static final int HEAD_BYTES = 16_000;
    private static final int TIMEOUT_MILLIS = 800;
    /** The time of the request, half a second in which a late answer only earns nothing, and 50 ms of slack. */
    private static final double LOST_AFTER_MILLIS = TIMEOUT_MILLIS + 500 + 50;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final AtomicBoolean ending = new AtomicBoolean();
    private final Lab lab;

    private StoppedHeads(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments, lab -> new StoppedHeads(lab).run());
    }

    private boolean run() throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < 6; i++) {
            Lab.Host host = lab.host("s-" + i, (request, connection) -> {
                lab.record("%s: ran %s", connection.host.id, request.header("x-request-id"));
                Lab.sleep(100);
                connection.answer("ok " + request.header("x-request-id"));
                return true;
            });
            discovery.put(host, i / 3, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            String name = "u" + i;
            usual.add(Lab.start(name, () -> sendRequests(proxy, name)));
        }
        Lab.sleep(2_000);
        tellCounts("before");
        if (Lab.trouble()) {
            stopWithinHeads(proxy);
        } else {
            Lab.sleep(3_000);
        }
        tellCounts("at the end of the disruption");
        Lab.sleep(5_000);
        ending.set(true);
        for (Thread client : usual) {
            client.join(3_000);
        }
        tellCounts("5 s later");
        lab.tell("the process of the proxy: %s", proxy.process.isAlive() ? "runs" : "has ended");
        if (served.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return lost.get() == 0 && proxy.process.isAlive();
    }

    private void tellCounts(String when) {
        lab.tell(
                "%s: usual clients: served %d, refused %d, failed %d, lost %d, not judged %d",
                when, served.get(), refused.get(), failed.get(), lost.get(), excused.get());
    }

    /** 320 clients send a part of a head, read what they are sent, and leave after 3 s. */
    private void stopWithinHeads(Lab.Proxy proxy) throws Exception {
        StringBuilder head = new StringBuilder("POST /visit-claim HTTP/1.1\r\nHost: api.internal\r\n");
        for (int i = 0; head.length() < HEAD_BYTES; i++) {
            head.append("X-F").append(i).append(": 123456\r\n");
        }
        byte[] bytes = Lab.bytes(head.toString());
        List<Lab.Client> stopped = new ArrayList<>();
        for (int i = 0; i < STOPPED_CLIENTS; i++) {
            try {
                Lab.Client client = new Lab.Client(proxy.address);
                client.send(bytes);
                stopped.add(client);
            } catch (IOException e) {
                lab.record("stopped client %d: %s", i, e);
            }
        }
        lab.tell("%d clients have sent %d bytes of a head each", stopped.size(), bytes.length);
        Lab.sleep(3_100);
        int ended = 0;
        for (Lab.Client client : stopped) {
            client.socket.setSoTimeout(1);
            try {
                client.in.read();
                ended++;
            } catch (SocketTimeoutException e) {
                // neither an error nor a close
            } catch (IOException e) {
                ended++;
            }
            client.close();
        }
        lab.tell("of these, %d had an error or a close within 3.1 s; all have left now", ended);
    }

    private void sendRequests(Lab.Proxy proxy, String name) throws Exception {
        Lab.Client client = null;
        for (int i = 0; !ending.get(); i++) {
            String id = name + "-" + i;
            double sentMillis = lab.millis();
            try {
                if (client == null) {
                    client = connect(proxy);
                }
                client.send(Lab.request("visit-claim", id, "visit", TIMEOUT_MILLIS));
                sentMillis = lab.millis();
                lab.record("%s: sent", id);
                client.socket.setSoTimeout((int) LOST_AFTER_MILLIS);
                Lab.Message answer = Lab.read(client.in);
                onAnswer(id, answer, lab.millis() - sentMillis);
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    client.close();
                    client = null;
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                lab.record("%s: LOST, no answer on an open connection %.0f ms after it was sent", id,
                        lab.millis() - sentMillis);
                client = closed(client);
            } catch (IOException e) {
                // a close that crosses a request, a connection that is shut unread or does not come up: not judged
                excused.incrementAndGet();
                lab.record("%s: %s", id, e);
                client = closed(client);
            }
            Lab.sleep(30);
        }
        closed(client);
    }

    /** Connects to the proxy; a connection that does not come up is no request that the proxy has taken. */
    private static Lab.Client connect(Lab.Proxy proxy) throws IOException {
        try {
            return new Lab.Client(proxy.address);
        } catch (SocketTimeoutException e) {
            throw new IOException("no connection", e);
        }
    }

    private void onAnswer(String id, Lab.Message answer, double elapsedMillis) {
        lab.record("%s: answered %d after %.0f ms", id, answer.status(), elapsedMillis);
        if (elapsedMillis > LOST_AFTER_MILLIS) {
            lost.incrementAndGet();
            lab.record("%s: LOST, answered too late", id);
        } else if (answer.status() == 200) {
            served.incrementAndGet();
        } else if (answer.status() == 503 || answer.status() == 429) {
            refused.incrementAndGet();
        } else {
            failed.incrementAndGet();
        }
    }

    private static Lab.Client closed(Lab.Client client) throws IOException {
        if (client != null) {
            client.close();
        }
        return null;
    }
}
