package rillyard.proxy;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Locale;
import java.util.Set;

/** The headers of the protocol, as names whose hashes are made once, and which go no further. */
final class Headers {
    static final AsciiString REQUEST_ID = AsciiString.cached("X-Request-ID");
    static final AsciiString CLASS = AsciiString.cached("X-Priority-Class");
    static final AsciiString TENANT = AsciiString.cached("X-Tenant-Id");
    static final AsciiString TIMEOUT_MS = AsciiString.cached("X-Timeout-Ms");
    static final AsciiString RETRIED = AsciiString.cached("X-Retried");
    static final AsciiString COST = AsciiString.cached("X-Cost");
    static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    static final AsciiString SERVER_LOAD = AsciiString.cached("X-Server-Load");
    static final AsciiString NOT_PROCESSED = AsciiString.cached("X-Not-Processed");

    static final HttpHeaders NONE = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders();

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

    private Headers() {}

    static void dropHopByHop(HttpHeaders headers) {
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
