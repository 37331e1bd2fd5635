package lab2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Hosts send long answers in small chunks; meanwhile the usual requests must be answered in their time. */
public final class Case9 {
    private static final int DOWNLOADS = 128;
    private static final int SMALL_CHUNK_BYTES = 8;
    private static final int LARGE_CHUNK_BYTES = 16_384;
    private static final int ANSWER_BYTES = 8 << 20;
    private static final int TIMEOUT_MILLIS = 400;
    private static final long RUN_MILLIS = 25_000;

    private Case9() {}

    public static void main(String[] args) {
        Lab.main(args, Case9::run);
    }

    private static boolean run(Lab lab) throws Exception {
        int chunkBytes = lab.trouble() ? SMALL_CHUNK_BYTES : LARGE_CHUNK_BYTES;
        Deployment deployment = new Deployment(lab, 6, (request, out) -> answer(request, out, chunkBytes));
        Lab.Proxy proxy = deployment.startProxy(192, 1_024);
        Prober usual = new Prober(lab, proxy.address(), Deployment.CLAIM, TIMEOUT_MILLIS, 4, 100);
        Thread.sleep(3_000);
        AtomicLong received = new AtomicLong();
        for (int i = 0; i < DOWNLOADS; i++) {
            int number = i;
            Thread client = new Thread(() -> download(lab, proxy, number, received), "download " + i);
            client.setDaemon(true);
            client.start();
        }
        long until = System.nanoTime() + RUN_MILLIS * 1_000_000;
        while (System.nanoTime() < until && proxy.isAlive()) {
            Thread.sleep(1_000);
            lab.record("downloaded %d kB", received.get() / 1_000);
        }
        usual.stop();
        return !proxy.isAlive() || usual.lost() > 0;
    }

    private static void answer(Host.Request request, OutputStream out, int chunkBytes) throws Exception {
        if (request.path().startsWith("/" + Deployment.CLAIM)) {
            Thread.sleep(30);
            out.write(Prober.answer(request));
            return;
        }
        int chunksAtOnce = Math.max(1, LARGE_CHUNK_BYTES / chunkBytes);
        byte[] several = (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
                .repeat(chunksAtOnce)
                .getBytes(StandardCharsets.US_ASCII);
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        for (int sent = 0; sent < ANSWER_BYTES; sent += chunksAtOnce * chunkBytes) {
            out.write(several);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Takes one long answer after the other, as fast as they come. */
    private static void download(Lab lab, Lab.Proxy proxy, int number, AtomicLong received) {
        byte[] buffer = new byte[65_536];
        for (int round = 0; proxy.isAlive(); round++) {
            String request = Deployment.request(Deployment.LOG, "long" + number + "-" + round, 1_200)
                    .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            try (Socket socket = Deployment.connect(proxy.address(), 30_000)) {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                int count;
                while ((count = in.read(buffer)) > 0) {
                    received.addAndGet(count);
                }
                Thread.sleep(500);
            } catch (IOException e) {
                lab.record("download %d: %s", number, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
