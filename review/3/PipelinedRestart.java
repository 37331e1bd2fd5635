import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send three requests at once on a connection. The client proxy is told to end (SIGTERM) while a host works on
 * the first of them, long after all three were written. Every one of them is owed a final answer.
 */
final class PipelinedRestart {
    private static final int CLIENTS = 10;
    private static final int REQUESTS_AT_ONCE = 3;
    private static final int TIMEOUT_MILLIS = 800;
    /** A quarter of the client's time for the requests of one connection, so that all can be answered in time. */
    private static final double WORK_MILLIS = 100;
    /** Time from the last byte of the requests to SIGTERM. */
    private static final double LEAD_MILLIS = 50;
    /** The longest deadline of the settings (1.5 s) and 0.7 s: SIGKILL comes no sooner after SIGTERM. */
    private static final double SIGKILL_MILLIS = 2_200;

    public static void main(String[] arguments) {
        Lab.main(arguments, PipelinedRestart::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < 6; i++) {
            discovery.put(lab.host("s-" + i, (request, connection) -> work(lab, request, connection)), i / 3, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        List<Lab.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(lab.owned(new Lab.Client(proxy.address)));
        }
        // The connections have carried a request before, as those of clients that keep them.
        for (int i = 0; i < CLIENTS; i++) {
            clients.get(i).send(Lab.request("visit-claim", "first-" + i, "open visit", TIMEOUT_MILLIS));
        }
        for (Lab.Client client : clients) {
            if (Lab.read(client.in).status() != 200) {
                throw new IllegalStateException("the first requests were not served");
            }
        }
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Lab.Client client = clients.get(i);
            StringBuilder requests = new StringBuilder();
            for (int n = 0; n < REQUESTS_AT_ONCE; n++) {
                requests.append(Lab.request("visit-claim", "c" + number + "-" + n, "open visit", TIMEOUT_MILLIS));
            }
            client.send(requests.toString());
            lab.record("client %d: sent c%d-0 to c%d-%d", number, number, number, REQUESTS_AT_ONCE - 1);
            readers.add(Lab.start("reader-" + i, () -> readAll(lab, number, client, answered, unanswered)));
        }
        if (Lab.trouble()) {
            Lab.sleep(LEAD_MILLIS);
            proxy.signal("TERM");
            Thread kill = Lab.start("kill", () -> {
                Lab.sleep(SIGKILL_MILLIS);
                if (proxy.process.isAlive()) {
                    lab.record("proxy: still running %.0f ms after SIGTERM, SIGKILL", SIGKILL_MILLIS);
                    proxy.process.destroyForcibly();
                }
            });
            kill.join();
        }
        for (Thread reader : readers) {
            reader.join();
        }
        lab.tell("requests answered %d, without an answer %d", answered.get(), unanswered.get());
        return unanswered.get() == 0;
    }

    private static void readAll(
            Lab lab, int number, Lab.Client client, AtomicInteger answered, AtomicInteger unanswered) {
        for (int n = 0; n < REQUESTS_AT_ONCE; n++) {
            try {
                Lab.Message response = Lab.read(client.in);
                answered.incrementAndGet();
                lab.record("client %d: c%d-%d got %d [%s]", number, number, n, response.status(), response.text());
            } catch (IOException e) {
                unanswered.incrementAndGet();
                lab.tell("broken: c%d-%d got no answer, the connection ended: %s", number, n, e);
            }
        }
    }

    private static boolean work(Lab lab, Lab.Message request, Lab.HostConnection connection) throws Exception {
        lab.record("host %s: runs %s", connection.host.id, request.header("x-request-id"));
        Lab.sleep(WORK_MILLIS * (0.8 + 0.4 * ThreadLocalRandom.current().nextDouble()));
        connection.answer("claimed for " + request.header("x-request-id"));
        return true;
    }
}
