package rillyard.proxy.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import rillyard.proxy.lifecycle.FaultyHost.Behavior;

/**
 * Sends requests that fail in the common ways through a proxy, so that the class archive contains what they load.
 *
 * <p>A class that is not in the archive is loaded, verified and linked on the event loop by the first request that
 * needs it. That takes tens of milliseconds on a fraction of a core, just when hosts begin to fail. Blocking; used by
 * {@link ClassArchiveTraining} only.
 */
final class FaultPathTraining {
    /** Timeout (ms) that the header of each request states; a host that doesn't respond uses all of it. */
    private static final int TIMEOUT_MILLIS = 400;

    /** Length of a body that exceeds what a proxy buffers, so that it is streamed. */
    private static final int UPLOAD_BYTES = 200_000;

    /** Read timeout (ms) of a response; the training fails when it expires. */
    private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;

    private final InetSocketAddress proxy;
    private int sentRequests;

    /** Creates a training that sends to the proxy at this address, whose hosts are {@link FaultyHost}s. */
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
        disconnectBeforeResponse();
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

    private void disconnectBeforeResponse() throws IOException {
        try (Socket socket = new Socket(proxy.getAddress(), proxy.getPort())) {
            send(socket, get(Behavior.SILENT));
        }
        exchange(get(Behavior.OK)); // the proxy has noticed the close once it has responded to this
    }

    private static void send(Socket socket, String request) throws IOException {
        socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }
}
