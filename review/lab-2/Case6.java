package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A long keyed request arrives while the proxy is held up; its host resets the connection long after the request has
 * begun. The request must not run again once hosts no longer remember its key.
 */
public final class Case6 {
    private static final int ROUNDS = 12;
    private static final int BODY_BYTES = 90_000;
    private static final int TIMEOUT_MILLIS = 1_200;
    private static final int WINDOW_MILLIS = 300;

    /** Slack of the rule: 50 ms of each limit on sockets, and 150 ms for a proxy that is held up. */
    private static final int SLACK_MILLIS = 200;

    private static final long RESET_AFTER_MILLIS = 700;
    private static final long HOLD_MILLIS = 130;
    private static final double MAX_HOLD_MILLIS = 150;

    private static final Map<String, Double> FIRST_RUNS = new ConcurrentHashMap<>();
    private static final AtomicInteger TOO_LATE = new AtomicInteger();

    private Case6() {}

    public static void main(String[] args) {
        Lab.main(args, Case6::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Deployment deployment = new Deployment(lab, 6, (request, out) -> answer(lab, request, out));
        Lab.Proxy proxy = deployment.startProxy(192, 1_024, WINDOW_MILLIS);
        Prober usual = new Prober(lab, proxy.address(), Deployment.CLAIM, 800, 8, 50);
        Thread.sleep(4_000);
        for (int round = 0; round < ROUNDS; round++) {
            send(lab, proxy, "upload" + round);
            Thread.sleep(1_000);
        }
        usual.stop();
        lab.record("runs past the time in which hosts remember the key: %d", TOO_LATE.get());
        return TOO_LATE.get() > 0;
    }

    /** Runs a request: the first run of a long one ends with a reset. */
    private static void answer(Lab lab, Host.Request request, OutputStream out) throws Exception {
        if (request.body().length < BODY_BYTES) {
            Thread.sleep(30);
            out.write(Prober.answer(request));
            return;
        }
        double nowMillis = lab.millis();
        Double first = FIRST_RUNS.putIfAbsent(request.id(), nowMillis);
        if (first == null) {
            lab.record("a host runs %s, key %s", request.id(), request.head().header("idempotency-key"));
            Thread.sleep(RESET_AFTER_MILLIS);
            lab.record("the host resets the connection of %s", request.id());
            request.socket().setSoLinger(true, 0);
            request.socket().close();
            throw new IOException("reset on purpose");
        }
        boolean late = nowMillis - first > WINDOW_MILLIS + SLACK_MILLIS;
        TOO_LATE.addAndGet(late ? 1 : 0);
        lab.record(
                "%s: another host runs %s, %.0f ms after the first",
                late ? "DUPLICATE" : "repeat", request.id(), nowMillis - first);
        out.write(Prober.answer(request));
    }

    /** Sends a long request, while the proxy is held up if there is to be trouble, and waits for the answer. */
    private static void send(Lab lab, Lab.Proxy proxy, String id) throws Exception {
        byte[] request = (Deployment.head(Deployment.LOG, id, TIMEOUT_MILLIS) + "Content-Length: " + BODY_BYTES
                        + "\r\n\r\n" + "x".repeat(BODY_BYTES))
                .getBytes(StandardCharsets.US_ASCII);
        try (Socket socket = Deployment.connect(proxy.address(), 3_000)) {
            double stoppedMillis = lab.millis();
            if (lab.trouble()) {
                proxy.signal("STOP");
            }
            Thread writer = new Thread(() -> write(lab, socket, id, request), "writer");
            writer.start();
            if (lab.trouble()) {
                Thread.sleep(HOLD_MILLIS);
                proxy.signal("CONT");
                double heldMillis = lab.millis() - stoppedMillis;
                lab.record("the proxy was held up for %.0f ms at most", heldMillis);
                if (heldMillis > MAX_HOLD_MILLIS) {
                    lab.record("%s does not count: the hold was too long", id);
                    FIRST_RUNS.put(id, Double.POSITIVE_INFINITY);
                }
            }
            writer.join();
            String answer = Deployment.readAnswer(new BufferedInputStream(socket.getInputStream()));
            lab.record("answer to %s: %s", id, answer);
        } catch (IOException e) {
            lab.record("%s: %s", id, e);
        }
    }

    private static void write(Lab lab, Socket socket, String id, byte[] request) {
        try {
            socket.getOutputStream().write(request);
            lab.record("%s is sent", id);
        } catch (IOException e) {
            lab.record("%s: %s", id, e);
        }
    }
}
