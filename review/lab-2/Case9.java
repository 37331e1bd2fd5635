package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send half a request each and wait; a usual client that connects meanwhile must get an answer, or a close, in
 * its time.
 */
public final class Case9 {
    private static final int BAD_CLIENTS = 300;
    private static final int NEW_CLIENTS = 100;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int LATE_MILLIS = 550;

    private Case9() {}

    public static void main(String[] args) {
        Lab.main(args, Case9::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Deployment deployment = new Deployment(lab, 6, (request, out) -> {
            Thread.sleep(100);
            out.write(Prober.answer(request));
        });
        Lab.Proxy proxy = deployment.startProxy(192, 256);
        Thread.sleep(2_000);
        AtomicInteger ended = new AtomicInteger();
        for (int i = 0; i < BAD_CLIENTS && lab.trouble(); i++) {
            int number = i;
            Thread client = new Thread(() -> sendHalf(lab, proxy, number, ended), "bad client " + i);
            client.setDaemon(true);
            client.start();
        }
        Thread.sleep(1_000);
        AtomicInteger late = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < NEW_CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> sendOnce(lab, proxy, number, answered, late), "usual client " + i);
            client.start();
            clients.add(client);
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        lab.record(
                "usual clients %d, answered or closed in time %d, lost %d; half requests that were ended %d",
                NEW_CLIENTS, answered.get(), late.get(), ended.get());
        return !proxy.isAlive() || late.get() > 0;
    }

    /** Sends a head and a part of the body again and again, each time until the answer or the close. */
    private static void sendHalf(Lab lab, Lab.Proxy proxy, int number, AtomicInteger ended) {
        for (int round = 0; proxy.isAlive(); round++) {
            try (Socket socket = Deployment.connect(proxy.address(), 6_000)) {
                String half = Deployment.head(Deployment.CLAIM, "half" + number + "-" + round, TIMEOUT_MILLIS)
                        + "Content-Length: 200\r\n\r\nhalf of it";
                socket.getOutputStream().write(half.getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // reset, or not accepted: sent again
            }
            ended.incrementAndGet();
        }
    }

    /** Connects and sends one complete request, whose answer or close has to come in time. */
    private static void sendOnce(Lab lab, Lab.Proxy proxy, int number, AtomicInteger answered, AtomicInteger late) {
        String id = "once" + number;
        long sentNanos;
        try (Socket socket = Deployment.connect(proxy.address(), TIMEOUT_MILLIS + LATE_MILLIS)) {
            socket.getOutputStream()
                    .write(Deployment.request(Deployment.CLAIM, id, TIMEOUT_MILLIS)
                            .getBytes(StandardCharsets.US_ASCII));
            sentNanos = System.nanoTime();
            String answer;
            try {
                answer = Deployment.readAnswer(new BufferedInputStream(socket.getInputStream()));
            } catch (java.net.SocketTimeoutException e) {
                late.incrementAndGet();
                lab.record("LOST %s: no answer and no close %d ms after it was sent", id, millisSince(sentNanos));
                return;
            }
            lab.record("%s: after %d ms: %s", id, millisSince(sentNanos), answer == null ? "closed" : answer);
        } catch (IOException e) {
            lab.record("%s: closed: %s", id, e);
        }
        answered.incrementAndGet();
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }
}
