import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some good answers are followed, some milliseconds later, by a second copy. A host sends the copy only while nothing
 * else waits on the connection. Every answer names the request that it was made for.
 */
final class LateSecondAnswer {
    private static final int HOSTS = 4;
    private static final int CLIENTS = 6;
    private static final double RUN_MILLIS = 40_000;
    /** One way on the network between the client proxy and a host. */
    private static final double ONE_WAY_MILLIS = 0.33;
    /** Share of the answers that a second copy follows. */
    private static final double COPIED_SHARE = 0.05;

    /** Share of the requests that a host turns away, as one does whose queue is full. */
    private static final double TURNED_AWAY_SHARE = 0.05;

    private static final AtomicInteger copies = new AtomicInteger();
    private static final AtomicInteger twice = new AtomicInteger();
    private static final Set<String> run = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Lab.main(arguments, LateSecondAnswer::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < HOSTS; i++) {
            Lab.Host host = lab.host("s-" + i, (request, connection) -> answer(lab, request, connection));
            Relay relay = lab.owned(new Relay(host.address));
            discovery.put(host.id, relay.address, i / 2, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Lab.start("client-" + i, () -> {
                Random random = new Random(61 + number);
                Lab.Client client = null;
                for (int n = 0; !isOver.get(); n++) {
                    String id = "c" + number + "-" + n;
                    try {
                        if (client == null) {
                            client = new Lab.Client(proxy.address);
                        }
                        lab.record("client: sent %s", id);
                        client.send(Lab.request("visit-claim", id, "open visit " + id, 800));
                        Lab.Message response = Lab.read(client.in);
                        String expected = "claimed for " + id;
                        lab.record("client: %s got %d [%s]", id, response.status(), response.text());
                        if (response.status() != 200) {
                            failed.incrementAndGet();
                        } else if (response.text().equals(expected)) {
                            answered.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            lab.tell("broken: %s was answered with [%s]", id, response.text());
                        }
                    } catch (IOException e) {
                        lab.record("client: %s %s", id, e);
                        if (client != null) {
                            client.close();
                            client = null;
                        }
                    }
                    Lab.sleep(2 + 10 * random.nextDouble());
                }
            }));
        }
        Lab.sleep(RUN_MILLIS);
        isOver.set(true);
        for (Thread client : clients) {
            client.join();
        }
        lab.tell(
                "served with their own answer %d, with another request's %d, run twice %d, failed or refused %d, copies %d",
                answered.get(), foreign.get(), twice.get(), failed.get(), copies.get());
        if (answered.get() < 1_000) {
            throw new IllegalStateException("too few requests were served for a verdict");
        }
        return foreign.get() == 0 && twice.get() == 0;
    }

    private static boolean answer(Lab lab, Lab.Message request, Lab.HostConnection connection) throws Exception {
        String id = request.header("x-request-id");
        if (ThreadLocalRandom.current().nextDouble() < TURNED_AWAY_SHARE) {
            lab.record("host %s: turns away %s", connection.host.id, id);
            connection.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        lab.record("host %s: runs %s", connection.host.id, id);
        if (!run.add(id)) {
            twice.incrementAndGet();
            lab.tell("broken: %s has run twice", id);
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Lab.sleep(4 + 6 * random.nextDouble());
        String body = "claimed for " + id;
        connection.answer(body);
        if (!Lab.trouble() || random.nextDouble() >= COPIED_SHARE) {
            return true;
        }
        long dueNanos = System.nanoTime() + (long) ((1 + 4 * random.nextDouble()) * 1e6);
        while (System.nanoTime() < dueNanos) {
            if (connection.in.available() > 0) {
                return true; // another request waits: no copy
            }
            Lab.sleep(0.1);
        }
        if (connection.in.available() == 0) {
            connection.answer(body);
            copies.incrementAndGet();
            lab.record("host %s: second copy of the answer to %s", connection.host.id, id);
        }
        return true;
    }

    /** Carries connections to a host with the delay of the network. */
    private static final class Relay implements AutoCloseable {
        final String address;
        private final ServerSocket server = new ServerSocket(0, 1_024, Lab.LOOPBACK);

        Relay(String host) throws IOException {
            address = "127.0.0.1:" + server.getLocalPort();
            int port = Integer.parseInt(host.substring(host.indexOf(':') + 1));
            Lab.start("relay", () -> {
                while (true) {
                    Socket near = server.accept();
                    Socket far = new Socket();
                    far.connect(new InetSocketAddress(Lab.LOOPBACK, port));
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    Lab.start("relay-out", () -> carry(near, far));
                    Lab.start("relay-back", () -> carry(far, near));
                }
            });
        }

        private static void carry(Socket from, Socket to) throws Exception {
            try (from; to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[65_536];
                int count;
                while ((count = in.read(buffer)) >= 0) {
                    long dueNanos = System.nanoTime() + (long) (ONE_WAY_MILLIS * 1e6);
                    while (System.nanoTime() < dueNanos) {
                        Thread.onSpinWait();
                    }
                    out.write(buffer, 0, count);
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
