package rillyard.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.List;
import rillyard.balancer.Settings;
import rillyard.proxy.http.ProtocolHeaders;

/** The form that requests have by the protocol, read from their heads. */
final class RequestValidator {
    /** The longest time (ms) a client may ask for; longer ones are cut to it. */
    private static final double MAX_TIMEOUT_MS = 600_000;

    /** Longest run of digits in a deadline, for it to be at most {@link #MAX_TIMEOUT_MS}. */
    private static final int TIMEOUT_DIGITS = 6;

    private static final int MAX_NAME = 128;

    private RequestValidator() {}

    /** A header's value where it is there once and of a sane length, else null. */
    static String single(HttpHeaders headers, AsciiString name) {
        List<String> all = headers.getAll(name);
        return all.size() == 1 && all.get(0).length() <= MAX_NAME ? all.get(0) : null;
    }

    static boolean onceAtMost(HttpHeaders headers, AsciiString... names) {
        for (AsciiString name : names) {
            if (headers.contains(name) && single(headers, name) == null) {
                return false;
            }
        }
        return true;
    }

    /** The wait a client states, NaN if it is no number. Without one it is that of the class. */
    static double timeout(String s, Settings.RequestClass requestClass) {
        if (s == null) {
            return requestClass.deadline();
        }
        if (s.isEmpty() || s.length() > TIMEOUT_DIGITS) {
            return Double.NaN;
        }
        for (int i = 0; i < s.length(); i++) {
            if (s.charAt(i) < '0' || s.charAt(i) > '9') {
                return Double.NaN;
            }
        }
        return Math.min(Integer.parseInt(s), MAX_TIMEOUT_MS);
    }

    /** The first part of a path, empty where there is none. */
    static String pathClass(String uri) {
        if (!uri.startsWith("/")) {
            return "";
        }
        int to = 1;
        while (to < uri.length() && uri.charAt(to) != '/' && uri.charAt(to) != '?') {
            to++;
        }
        return uri.substring(1, to);
    }

    /** Whether a request has the form that its class asks for, and so may be repeated as it may. */
    static boolean fits(Settings.RequestClass requestClass, HttpRequest request) {
        boolean post = request.method().equals(HttpMethod.POST);
        return switch (requestClass.semantics()) {
            case IDEMPOTENT ->
                !post && HttpUtil.getContentLength(request, 0L) == 0 && !HttpUtil.isTransferEncodingChunked(request);
            case DEDUPLICATED ->
                post
                        && !request.headers()
                                .get(ProtocolHeaders.IDEMPOTENCY_KEY, "")
                                .isBlank();
            case AT_MOST_ONCE -> post;
        };
    }

    /** RFC 9112, 3.2.2: a target in absolute form names the host; it goes on in origin form. */
    static void toOriginForm(HttpRequest request) {
        String uri = request.uri();
        if (uri.regionMatches(true, 0, "http://", 0, 7) && request.headers().contains(HttpHeaderNames.HOST)) {
            int path = 7;
            while (path < uri.length() && uri.charAt(path) != '/' && uri.charAt(path) != '?') {
                path++;
            }
            request.headers().set(HttpHeaderNames.HOST, uri.substring(7, path));
            String rest = uri.substring(path);
            request.setUri(rest.startsWith("/") ? rest : "/" + rest);
        }
    }

    /** The work expected, which clients state in microseconds and the module takes in ms. */
    static double estimate(String s) {
        try {
            double us = s == null ? Double.NaN : Double.parseDouble(s.trim());
            return us >= 0 && Double.isFinite(us) ? us / 1_000 : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
