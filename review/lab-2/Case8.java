package lab2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a request of 48 kB on each connection and, after its answer, two at once, the second of them in chunks of
 * one byte. The proxy must not crash.
 */
public final class Case8 {
    private static final int CLIENTS = 200;
    private static final int FIRST_BODY_BYTES = 48_000;
    private static final int THIRD_BODY_BYTES = 3_000;
    private static final long WORK_MILLIS = 300;
    private static final long RUN_MILLIS = 20_000;

    private Case8() {}

    public static void main(String[] args) {
        Lab.main(args, Case8::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Deployment deployment = new Deployment(lab, 6, (request, out) -> {
            if (request.body().length > 2) {
                Thread.sleep(WORK_MILLIS);
            }
            out.write(Prober.answer(request));
        });
        Lab.Proxy proxy = deployment.startProxy(192, 1_024);
        Prober usual = new Prober(lab, proxy.address(), Deployment.CLAIM, 800, 4, 100);
        Thread.sleep(3_000);
        AtomicInteger rounds = new AtomicInteger();
        AtomicInteger answers = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> send(lab, proxy, number, rounds, answers), "client " + i);
            client.setDaemon(true);
            client.start();
        }
        long until = System.nanoTime() + RUN_MILLIS * 1_000_000;
        while (System.nanoTime() < until && proxy.isAlive()) {
            Thread.sleep(500);
            lab.record("rounds %d, answers %d, resident %d MB", rounds.get(), answers.get(), proxy.residentMb());
        }
        usual.stop();
        if (!proxy.isAlive()) {
            lab.record("the proxy has crashed, exit status %d", proxy.exitStatus());
        }
        return !proxy.isAlive();
    }

    private static void send(Lab lab, Lab.Proxy proxy, int number, AtomicInteger rounds, AtomicInteger answers) {
        String pieces = lab.trouble()
                ? "1\r\nx\r\n".repeat(THIRD_BODY_BYTES)
                : Integer.toHexString(THIRD_BODY_BYTES) + "\r\n" + "x".repeat(THIRD_BODY_BYTES) + "\r\n";
        for (int round = 0; proxy.isAlive(); round++) {
            String id = "p" + number + "-" + round;
            String first = Deployment.head(Deployment.CLAIM, id + "a", 800) + "Content-Length: " + FIRST_BODY_BYTES
                    + "\r\n\r\n" + "x".repeat(FIRST_BODY_BYTES);
            String second = Deployment.head(Deployment.CLAIM, id + "b", 800) + "Content-Length: 4\r\n\r\nslow";
            String third = Deployment.head(Deployment.CLAIM, id + "c", 800) + "Transfer-Encoding: chunked\r\n\r\n"
                    + pieces + "0\r\n\r\n";
            try (Socket socket = Deployment.connect(proxy.address(), 3_000)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                write(socket, first);
                count(in, answers);
                if (lab.trouble()) {
                    write(socket, second + third);
                    count(in, answers);
                } else {
                    write(socket, second);
                    count(in, answers);
                    write(socket, third);
                }
                rounds.incrementAndGet();
                count(in, answers);
                Thread.sleep(100);
            } catch (IOException e) {
                if (round == 0) {
                    lab.record("client %d: %s", number, e);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void count(InputStream in, AtomicInteger answers) throws IOException {
        if (Deployment.readAnswer(in) == null) {
            throw new IOException("closed");
        }
        answers.incrementAndGet();
    }
}
