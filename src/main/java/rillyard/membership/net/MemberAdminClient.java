package rillyard.membership.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Asks a member what it holds. */
public final class MemberAdminClient {
    private static final int WAIT_MS = 3_000;

    /** Some 300 bytes for each of 100,000 members. */
    private static final int MOST_BYTES = 64 << 20;

    private MemberAdminClient() {}

    /**
     * Asks.
     *
     * @throws IOException if nobody is there, takes too long, or says what no member says
     */
    public static JsonNode ask(InetSocketAddress at) throws IOException {
        byte[] bytes;
        try (Socket socket = new Socket()) {
            socket.connect(at, WAIT_MS);
            socket.setSoTimeout(WAIT_MS);
            bytes = socket.getInputStream().readNBytes(MOST_BYTES);
        } catch (IOException e) {
            throw new IOException("no answer from " + at + ": " + e.getMessage(), e);
        }
        JsonNode node = null;
        try {
            node = new ObjectMapper().readTree(bytes);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            // said below
        }
        if (node == null
                || !node.path("self").isObject()
                || !node.path("members").isArray()) {
            throw new IOException(
                    at + " is no member's `admin` address: " + bytes.length + " bytes that are no view of a fleet");
        }
        return node;
    }
}
