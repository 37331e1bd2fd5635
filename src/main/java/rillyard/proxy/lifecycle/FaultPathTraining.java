package rillyard.proxy.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import rillyard.proxy.lifecycle.FaultyHost.Behavior;

/**
 * Sends requests that fail in the common ways through a proxy, for the class archive to hold what they load.
 *
 * <p>A class that is not in the archive is loaded, verified and linked on the event loop by the first request that needs
 * it: tens of milliseconds of a fraction of a core, in the moment in which hosts begin to fail. Blocking; used by
 * {@link ClassArchiveTraining} alone.
 */
final class FaultPathTraining {
    /** Time (ms) that is told for requests; a silent host takes all of it. */
    private static final int TIMEOUT_MILLIS = 400;

    /** A body that is longer than a proxy buffers, so that it is streamed. */
    private static final int UPLOAD_BYTES = 200_000;

    /** Time (ms) after which a response is given up, and the training with it. */
    private static final int MAX_RESPONSE_MILLIS = 10_000;

    private final InetSocketAddress proxy;
    private int sentRequests;

    /** Creates a training of the proxy at this address, whose hosts are {@link FaultyHost}s. */
    FaultPathTraining(InetSocketAddress proxy) {
        this.proxy = proxy;
    }

    /**
     * Sends all requests and waits for their responses.
     *
     * @throws IOException if the proxy can't be reached or closes a connection early
     */
    void run() throws IOException {
        for (Behavior behavior : Behavior.values()) {
            exchange(get(behavior));
            exchange(post("keyed", behavior));
            exchange(post("unsafe", behavior));
        }
        exchange(head("POST", "unsafe", Behavior.OK) + "Content-Length: " + UPLOAD_BYTES + "\r\n\r\n" + upload());
        exchange(head("POST", "unsafe", Behavior.SILENT) + "Content-Length: " + UPLOAD_BYTES + "\r\n\r\n" + upload());
        exchange(head("POST", "keyed", Behavior.OK) + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        exchange("malformed\r\n\r\n");
        leaveWithoutResponse();
    }

    private String get(Behavior behavior) {
        return head("GET", "read", behavior) + "\r\n";
    }

    private String post(String requestClass, Behavior behavior) {
        return head("POST", requestClass, behavior) + "Content-Length: 2\r\n\r\nok";
    }

    private static String upload() {
        return "x".repeat(UPLOAD_BYTES);
    }

    private String head(String method, String requestClass, Behavior behavior) {
        sentRequests++;
        return method + " /" + requestClass + " HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\nX-Request-ID: "
                + sentRequests + "\r\nIdempotency-Key: " + sentRequests + "\r\nX-Priority-Class: " + requestClass
                + "\r\nX-Timeout-Ms: " + TIMEOUT_MILLIS + "\r\n" + FaultyHost.BEHAVIOR_HEADER + ": " + behavior
                + "\r\n";
    }

    private void exchange(String request) throws IOException {
        try (Socket socket = new Socket(proxy.getAddress(), proxy.getPort())) {
            send(socket, request);
            socket.getInputStream().readAllBytes();
        }
    }

    private void leaveWithoutResponse() throws IOException {
        try (Socket socket = new Socket(proxy.getAddress(), proxy.getPort())) {
            send(socket, get(Behavior.SILENT));
        }
        exchange(get(Behavior.OK)); // the proxy has noticed the close once it has answered this
    }

    private static void send(Socket socket, String request) throws IOException {
        socket.setSoTimeout(MAX_RESPONSE_MILLIS);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }
}
