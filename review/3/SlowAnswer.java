import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Hosts give long answers of unknown length (chunked) in two pieces, with a pause of 0.2 s between them; a host pauses
 * once in 2.6 s at most. The client proxy owes the client all that the host still gives.
 */
final class SlowAnswer {
    private static final int REQUESTS = 30;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int PIECE_BYTES = 12_800;
    private static final int PIECES = 8;
    private static final double PAUSE_MILLIS = 200;
    /** The longest pause of a host of this kind, and the shortest time from one to the next, by the site. */
    private static final double MAX_PAUSE_MILLIS = 230;
    private static final double PAUSE_EVERY_MILLIS = 2_600;
    private static final String HOST_KIND = "fast-3core";
    private static final double WORK_MILLIS = 100;

    private static final Set<String> paused = ConcurrentHashMap.newKeySet();
    private static final Set<String> overlong = ConcurrentHashMap.newKeySet();
    private static final Map<String, Double> lastPauseMillis = new ConcurrentHashMap<>();
    private static final Set<String> begun = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Lab.main(arguments, SlowAnswer::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Discovery discovery = lab.discovery();
        discovery.kind = HOST_KIND;
        for (int i = 0; i < 6; i++) {
            discovery.put(lab.host("s-" + i, (request, connection) -> work(lab, request, connection)), i / 3, "up");
        }
        Lab.Proxy proxy = lab.proxy(discovery);
        int whole = 0;
        Set<String> cutOff = new HashSet<>();
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
                    cutOff.add(id); // the host had begun its answer, and would have given all of it
                } else {
                    others++; // refused, or failed before a host answered
                }
                Lab.sleep(400);
            }
        }
        Lab.sleep(500); // the last pause is over
        int notJudged = cutOff.size();
        cutOff.removeAll(overlong); // this machine was late: the pause was longer than a host's may be
        int cut = cutOff.size();
        notJudged -= cut;
        lab.tell(
                "whole answers %d, cut off %d, not judged %d, refused or failed without an answer of a host %d; with a pause %d",
                whole, cut, notJudged, others, paused.size());
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
        String host = connection.host.id;
        double nowMillis = lab.millis();
        boolean pauses = Lab.trouble()
                && nowMillis - lastPauseMillis.getOrDefault(host, Double.NEGATIVE_INFINITY) >= PAUSE_EVERY_MILLIS;
        connection.send(head + piece);
        if (pauses) {
            paused.add(id);
            Lab.sleep(PAUSE_MILLIS);
            double pauseMillis = lab.millis() - nowMillis;
            lastPauseMillis.put(host, lab.millis());
            if (pauseMillis > MAX_PAUSE_MILLIS) {
                overlong.add(id);
            }
            lab.record("host %s: has paused %.0f ms within its answer to %s", host, pauseMillis, id);
        }
        connection.send(piece.repeat(PIECES - 1) + end);
        lab.record("host %s: gave the whole answer to %s", connection.host.id, id);
        return true;
    }
}
