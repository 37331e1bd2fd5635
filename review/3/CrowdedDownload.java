import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients take long answers at 64 kB a second. Meanwhile others connect by hundreds and say nothing. Every long answer
 * is given whole by its host, in time, and is owed to its client whole.
 *
 * <p>The sizes are spread around that of the send buffer of a socket, so that the last bytes of some answers have to
 * wait in the client proxy.
 */
final class CrowdedDownload {
    private static final int CLIENTS = 200;
    /** Sizes of the answers, as shares of the largest send buffer of a socket: 3.94 to 4.19 MB where that has 4 MiB. */
    private static final double SMALLEST_SHARE = 0.94;

    private static final double STEP_SHARE = 0.000_3;
    /** Time between the requests of two clients. */
    private static final double START_MILLIS = 10;

    private static final int READ_BYTES = 6_400;
    private static final double READ_MILLIS = 100;
    private static final int SILENT_CLIENTS = 300;
    private static final double WAVE_MILLIS = 4_000;
    /** Receive buffer of a client's socket, small as on a phone. */
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    public static void main(String[] arguments) {
        Lab.main(arguments, CrowdedDownload::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < 6; i++) {
            discovery.put(lab.host("s-" + i, (request, connection) -> give(lab, request, connection)), i / 3, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        double sendBufferBytes = largestSendBufferBytes();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        List<Thread> downloads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            downloads.add(Lab.start("client-" + i, () -> {
                Lab.sleep(number * START_MILLIS);
                int bytes = (int) (sendBufferBytes * (SMALLEST_SHARE + number * STEP_SHARE));
                try (Lab.Client client = new Lab.Client(proxy.address, RECEIVE_BUFFER_BYTES)) {
                    String id = "c-" + number + "-" + bytes;
                    lab.record("client: sent %s", id);
                    client.send(Lab.request("visit-log", id, "visit", 1_200));
                    long got = download(client.in);
                    lab.record("client: %s got %d of %d bytes of the answer", id, got, bytes);
                    if (got >= 0 && got < bytes) {
                        lab.tell("broken: %s got %d of %d bytes, its host gave all", id, got, bytes);
                    }
                    (got == bytes ? whole : got < 0 ? others : cut).incrementAndGet();
                }
            }));
        }
        while (downloads.stream().anyMatch(Thread::isAlive)) {
            List<Lab.Client> silent = new ArrayList<>();
            for (int i = 0; Lab.trouble() && i < SILENT_CLIENTS; i++) {
                try {
                    silent.add(new Lab.Client(proxy.address));
                } catch (IOException e) {
                    lab.record("silent client: %s", e);
                }
            }
            lab.record("%d clients have connected and say nothing", silent.size());
            Lab.sleep(WAVE_MILLIS);
            for (Lab.Client client : silent) {
                client.close();
            }
        }
        lab.tell("whole answers %d, cut off %d, others %d", whole.get(), cut.get(), others.get());
        if (whole.get() + cut.get() < CLIENTS / 2) {
            throw new IllegalStateException("too few answers for a verdict");
        }
        return cut.get() == 0;
    }

    /** Returns the system's bound on the send buffer of a TCP socket. */
    private static double largestSendBufferBytes() {
        try {
            String[] bounds = Files.readString(Path.of("/proc/sys/net/ipv4/tcp_wmem")).trim().split("\\s+");
            return Math.min(4_194_304, Double.parseDouble(bounds[2]));
        } catch (IOException | RuntimeException e) {
            return 4_194_304;
        }
    }

    /** Reads an answer slowly; returns the bytes of its body, or -1 if its status is not 200. */
    private static long download(InputStream in) throws Exception {
        boolean isServed = Lab.readLine(in).contains(" 200 ");
        long length = 0;
        String line;
        while (!(line = Lab.readLine(in)).isEmpty()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Long.parseLong(line.substring(15).trim());
            }
        }
        long got = 0;
        byte[] buffer = new byte[READ_BYTES];
        while (got < length) {
            int count = in.read(buffer, 0, (int) Math.min(READ_BYTES, length - got));
            if (count < 0) {
                break;
            }
            got += count;
            Lab.sleep(READ_MILLIS * count / READ_BYTES);
        }
        return isServed ? got : -1;
    }

    private static boolean give(Lab lab, Lab.Message request, Lab.HostConnection connection) throws Exception {
        String id = request.header("x-request-id");
        lab.record("host %s: runs %s", connection.host.id, id);
        int length = Integer.parseInt(id.substring(id.lastIndexOf('-') + 1));
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
        byte[] piece = new byte[16_384];
        for (int sent = 0; sent < length; sent += piece.length) {
            connection.out.write(piece, 0, Math.min(piece.length, length - sent));
        }
        lab.record("host %s: gave the whole answer to %s", connection.host.id, id);
        return true;
    }
}
