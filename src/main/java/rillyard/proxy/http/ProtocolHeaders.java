package rillyard.proxy.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Locale;
import java.util.Set;

/** Names of the protocol's headers, with precomputed hashes, and the removal of hop-by-hop headers. */
public final class ProtocolHeaders {
    /** The id of a request, unique among the open requests of a client. */
    public static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-ID");
    /** The priority class of a request. */
    public static final AsciiString CLASS = AsciiString.cached("X-Priority-Class");
    /** The tenant that a request is accounted to. */
    public static final AsciiString TENANT = AsciiString.cached("X-Tenant-Id");
    /** The milliseconds for which the sender of a request waits for its response. */
    public static final AsciiString TIMEOUT_MS = AsciiString.cached("X-Timeout-Ms");
    /** The key by which a host recognizes a repeated request. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    /** The load report of a host. */
    public static final AsciiString SERVER_LOAD = AsciiString.cached("X-Server-Load");
    /** Set to 1 on a response to a request that the host rejected without processing it. */
    public static final AsciiString NOT_PROCESSED = AsciiString.cached("X-Not-Processed");

    /** An empty set of trailers, which must not be changed. */
    public static final HttpHeaders NONE =
            DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();

    private static final AsciiString[] HOP_BY_HOP = {
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("keep-alive"),
        AsciiString.cached("proxy-connection"),
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE
    };

    /** Headers that are kept even if a peer names them in Connection (RFC 9110, 7.6.1). */
    private static final Set<String> END_TO_END =
            Set.of("close", "host", "content-length", "x-request-id", "idempotency-key");

    private static final int MAX_CONNECTION_TOKENS = 16;

    private static final int MILLIS_PER_SECOND = 1_000;

    private ProtocolHeaders() {}

    /**
     * Formats a duration in milliseconds as seconds with three decimals, for Retry-After.
     *
     * <p>It avoids {@link java.util.Formatter}, which loads the locales' data at its first use: with a fraction of a
     * core that blocks the event loop for tens of milliseconds.
     */
    public static String toSeconds(double millis) {
        long rounded = Math.round(millis);
        String decimals =
                Long.toString(MILLIS_PER_SECOND + rounded % MILLIS_PER_SECOND).substring(1);
        return rounded / MILLIS_PER_SECOND + "." + decimals;
    }

    /** Removes the hop-by-hop headers, and the headers that Connection names unless they are end-to-end. */
    public static void dropHopByHop(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
                removeNamed(headers, value);
            }
        }
        for (AsciiString name : HOP_BY_HOP) {
            headers.remove(name);
        }
    }

    private static void removeNamed(HttpHeaders headers, String connectionValue) {
        for (String token : connectionValue.split(",", MAX_CONNECTION_TOKENS)) {
            String name = token.trim();
            if (!token.isBlank() && !END_TO_END.contains(name.toLowerCase(Locale.ROOT))) {
                headers.remove(name);
            }
        }
    }
}
