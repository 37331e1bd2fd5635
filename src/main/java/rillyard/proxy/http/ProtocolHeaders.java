package rillyard.proxy.http;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Locale;
import java.util.Set;

/** The headers of the protocol, as names whose hashes are made once, and which go no further. */
public final class ProtocolHeaders {
    public static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-ID");
    public static final AsciiString CLASS = AsciiString.cached("X-Priority-Class");
    public static final AsciiString TENANT = AsciiString.cached("X-Tenant-Id");
    public static final AsciiString TIMEOUT_MS = AsciiString.cached("X-Timeout-Ms");
    public static final AsciiString RETRIED = AsciiString.cached("X-Retried");
    public static final AsciiString COST = AsciiString.cached("X-Cost");
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    public static final AsciiString SERVER_LOAD = AsciiString.cached("X-Server-Load");
    public static final AsciiString NOT_PROCESSED = AsciiString.cached("X-Not-Processed");

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

    /** Guards against a peer that has us drop, as its hop's own, what makes a request what it is. */
    private static final Set<String> END_TO_END =
            Set.of("close", "host", "content-length", "x-request-id", "idempotency-key");

    private ProtocolHeaders() {}

    public static void dropHopByHop(HttpHeaders headers) {
        if (headers.contains(HttpHeaderNames.CONNECTION)) {
            for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
                for (String token : named.split(",", 16)) {
                    if (!token.isBlank() && !END_TO_END.contains(token.trim().toLowerCase(Locale.ROOT))) {
                        headers.remove(token.trim());
                    }
                }
            }
        }
        for (AsciiString name : HOP_BY_HOP) {
            headers.remove(name);
        }
    }
}
