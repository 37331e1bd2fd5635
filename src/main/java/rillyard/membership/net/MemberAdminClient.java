package rillyard.membership.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Fetches the view of a member from its admin address. */
public final class MemberAdminClient {
    private static final int TIMEOUT_MS = 3_000;

    /** Maximum size of a view, enough for about 300 bytes for each of 100,000 members. */
    private static final int MAX_BYTES = 64 << 20;

    private MemberAdminClient() {}

    /**
     * Fetches a view.
     *
     * @throws IOException if there is no response in time, or the response is not a view
     */
    public static JsonNode fetchView(InetSocketAddress address) throws IOException {
        byte[] response = read(address);
        JsonNode view;
        try {
            view = new ObjectMapper().readTree(response);
        } catch (JsonProcessingException e) {
            throw noView(address, response, e);
        }
        if (view == null
                || !view.path("self").isObject()
                || !view.path("members").isArray()) {
            throw noView(address, response, null);
        }
        return view;
    }

    private static byte[] read(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            return socket.getInputStream().readNBytes(MAX_BYTES);
        } catch (IOException e) {
            throw new IOException("no answer from " + address + ": " + e.getMessage(), e);
        }
    }

    private static IOException noView(InetSocketAddress address, byte[] response, JsonProcessingException cause) {
        return new IOException(
                address + " is not the `admin` address of a member: its " + response.length
                        + " bytes are not a membership view",
                cause);
    }
}
