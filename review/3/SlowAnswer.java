import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Hosts give long answers of unknown length (chunked), written slowly, in pieces: 64 kB a second, a piece each 0.2 s.
 * The client proxy owes the client all that the host still gives.
 */
final class SlowAnswer {
    private static final int REQUESTS = 30;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int PIECE_BYTES = 12_800;
    private static final int PIECES = 8;
    private static final double PIECE_MILLIS = 200;
    private static final double WORK_MILLIS = 100;

    private static final Set<String> begun = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Lab.main(arguments, SlowAnswer::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Discovery discovery = lab.discovery();
        for (int i = 0; i < 6; i++) {
            discovery.put(lab.host("s-" + i, (request, connection) -> work(lab, request, connection)), i / 3, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        int whole = 0;
        int cut = 0;
        int others = 0;
        try (Lab.Client client = new Lab.Client(proxy.address)) {
            for (int n = 0; n < REQUESTS; n++) {
                String id = "c-" + n;
                double sentMillis = lab.millis();
                lab.record("client: sent %s", id);
                client.send(Lab.request("visit-claim", id, "open visit", TIMEOUT_MILLIS));
                Lab.Message response = Lab.read(client.in);
                lab.record(
                        "client: %s got %d, %d bytes, whole=%s, after %.0f ms",
                        id, response.status(), response.body.length, response.whole, lab.millis() - sentMillis);
                if (response.status() == 200 && response.whole && response.body.length == PIECES * PIECE_BYTES) {
                    whole++;
                } else if (begun.contains(id)) {
                    cut++; // the host had begun its answer, and would have given all of it
                } else {
                    others++; // refused, or failed before a host answered
                }
                Lab.sleep(100);
            }
        }
        lab.tell("whole answers %d, cut off %d, refused or failed without an answer of a host %d", whole, cut, others);
        if (whole + cut < REQUESTS / 2) {
            throw new IllegalStateException("too few requests got an answer of a host for a verdict");
        }
        return cut == 0;
    }

    private static boolean work(Lab lab, Lab.Message request, Lab.HostConnection connection) throws Exception {
        String id = request.header("x-request-id");
        lab.record("host %s: runs %s", connection.host.id, id);
        Lab.sleep(WORK_MILLIS);
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String piece = Lab.chunk("x".repeat(PIECE_BYTES));
        String end = "0\r\n\r\n";
        begun.add(id);
        if (Lab.trouble()) {
            connection.send(head + piece);
            for (int sent = 1; sent < PIECES; sent++) {
                Lab.sleep(PIECE_MILLIS);
                connection.send(piece);
            }
            connection.send(end);
        } else {
            connection.send(head + piece.repeat(PIECES) + end);
        }
        lab.record("host %s: gave the whole answer to %s", connection.host.id, id);
        return true;
    }
}
