package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Busy clients at 40 sound hosts, with the fewest descriptors that the pages give. A client that connects then must
 * get an answer, or a close, in its time.
 */
public final class Case7 {
    private static final int HOSTS = 40;
    private static final int BUSY_CLIENTS = 74;
    private static final int NEW_CLIENTS = 10;
    private static final int FEW_DESCRIPTORS = 256;
    private static final int MANY_DESCRIPTORS = 1_024;
    private static final double MEAN_WORK_MILLIS = 130;
    private static final double WORK_VARIATION = 0.7;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int LATE_MILLIS = 550;

    private Case7() {}

    public static void main(String[] args) {
        Lab.main(args, Case7::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Deployment deployment = new Deployment(lab, HOSTS, (request, out) -> {
            Thread.sleep(workMillis());
            out.write(Prober.answer(request));
        });
        Lab.Proxy proxy = deployment.startProxy(192, lab.trouble() ? FEW_DESCRIPTORS : MANY_DESCRIPTORS);
        Prober busy = new Prober(lab, proxy.address(), Deployment.CLAIM, TIMEOUT_MILLIS, BUSY_CLIENTS, 2);
        for (int i = 0; i < 12; i++) {
            Thread.sleep(1_000);
            lab.record("descriptors of the proxy: %d", proxy.descriptors());
        }
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < NEW_CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> send(lab, proxy, number, lost), "new client " + i);
            client.start();
            clients.add(client);
            Thread.sleep(1_000);
        }
        for (Thread client : clients) {
            client.join();
        }
        busy.stop();
        lab.record("new clients %d, requests of theirs that were lost %d", NEW_CLIENTS, lost.get());
        return !proxy.isAlive() || lost.get() + busy.lost() > 0;
    }

    /** Returns the time of a request at its host, distributed as the site says (lognormal). */
    private static long workMillis() {
        double variance = Math.log(1 + WORK_VARIATION * WORK_VARIATION);
        double logarithm = Math.log(MEAN_WORK_MILLIS)
                - variance / 2
                + Math.sqrt(variance) * ThreadLocalRandom.current().nextGaussian();
        return (long) Math.exp(logarithm);
    }

    /** Connects, sends a request each 0.2 s, and stops after ten or at the first that is lost. */
    private static void send(Lab lab, Lab.Proxy proxy, int number, AtomicInteger lost) {
        boolean fresh = true;
        try (Socket socket = Deployment.connect(proxy.address(), TIMEOUT_MILLIS + LATE_MILLIS)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < 10; i++) {
                String id = "new" + number + "-" + i;
                socket.getOutputStream()
                        .write(Deployment.request(Deployment.CLAIM, id, TIMEOUT_MILLIS)
                                .getBytes(StandardCharsets.US_ASCII));
                long sentNanos = System.nanoTime();
                try {
                    String answer = Deployment.readAnswer(in);
                    long millis = (System.nanoTime() - sentNanos) / 1_000_000;
                    lab.record("%s: after %d ms: %s", id, millis, answer == null ? "closed" : answer);
                    if (answer == null) {
                        return; // closed between requests or, as a new connection, unread
                    }
                } catch (SocketTimeoutException e) {
                    lost.incrementAndGet();
                    lab.record(
                            "LOST %s: no answer and no close %d ms after it was sent, on a %s connection",
                            id, (System.nanoTime() - sentNanos) / 1_000_000, fresh ? "new" : "used");
                    return;
                }
                fresh = false;
                Thread.sleep(200);
            }
        } catch (IOException e) {
            lab.record("new client %d: closed: %s", number, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
