package rillyard.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.balancer.Settings;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.resources.HeaderMemoryExhaustedException;

/**
 * Checks the head of each request against the protocol.
 *
 * <p>A malformed request is rejected here because a host that rejects it, or closes its connection because of it, would
 * be regarded as faulty, and because header values of any length would be kept in memory. A request form that is added
 * to the protocol later has to be added here as well.
 */
final class RequestValidator {
    private static final String HEALTH_CHECK_PATH = "/_health";

    /** Longest timeout of a request; a longer one of at most {@link #MAX_TIMEOUT_DIGITS} digits is reduced to it. */
    private static final double MAX_TIMEOUT_MILLIS = 600_000;

    /** Most digits of a timeout, as many as {@link #MAX_TIMEOUT_MILLIS} has; one with more is malformed. */
    private static final int MAX_TIMEOUT_DIGITS = 6;

    private static final int MAX_VALUE_LENGTH = 128;
    private static final String ABSOLUTE_FORM_PREFIX = "http://";

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int VERSION_NOT_SUPPORTED = 505;

    private static final ValidationResult HEALTH_CHECK = new ValidationResult.HealthCheck();

    private final Map<String, Settings.RequestClass> requestClasses = new HashMap<>();
    private final BalancerDriver driver;

    RequestValidator(List<Settings.RequestClass> requestClasses, BalancerDriver driver) {
        for (Settings.RequestClass requestClass : requestClasses) {
            this.requestClasses.put(requestClass.name(), requestClass);
        }
        this.driver = driver;
    }

    /** Validates the head of a request; a target in absolute form is rewritten to origin form first. */
    ValidationResult validate(HttpRequest request) {
        rewriteToOriginForm(request);
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return new ValidationResult.Rejected(VERSION_NOT_SUPPORTED);
        }
        HttpMethod method = request.method();
        if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
            return new ValidationResult.Rejected(METHOD_NOT_ALLOWED);
        }
        if (HttpUtil.getContentLength(request, 0L) > BufferedBody.MAX_BYTES) {
            return new ValidationResult.Rejected(CONTENT_TOO_LARGE);
        }
        return request.uri().equals(HEALTH_CHECK_PATH) ? HEALTH_CHECK : validateHeaders(request);
    }

    /** Returns the response status for a request whose head or body can't be parsed. */
    static int statusOf(Throwable decoderFailure) {
        if (decoderFailure instanceof HeaderMemoryExhaustedException) {
            return SERVICE_UNAVAILABLE;
        }
        if (decoderFailure instanceof TooLongHttpLineException) {
            return URI_TOO_LONG;
        }
        return decoderFailure instanceof TooLongHttpHeaderException ? HEADERS_TOO_LARGE : BAD_REQUEST;
    }

    private ValidationResult validateHeaders(HttpRequest request) {
        HttpHeaders headers = request.headers();
        String requestId = singleValue(headers, ProtocolHeaders.REQUEST_ID);
        if (requestId == null
                || requestId.isBlank()
                || singleValue(headers, HttpHeaderNames.HOST) == null
                || !areAtMostOnce(
                        headers, ProtocolHeaders.CLASS, ProtocolHeaders.TIMEOUT_MS, ProtocolHeaders.IDEMPOTENCY_KEY)) {
            return new ValidationResult.Rejected(BAD_REQUEST);
        }
        String pathClass = classOfPath(request.uri());
        String namedClass = singleValue(headers, ProtocolHeaders.CLASS);
        Settings.RequestClass requestClass = requestClasses.get(namedClass == null ? pathClass : namedClass);
        if (requestClass == null || !requestClass.name().equals(pathClass)) {
            return new ValidationResult.Rejected(NOT_FOUND);
        }
        double timeoutMillis = parseTimeout(headers.get(ProtocolHeaders.TIMEOUT_MS), requestClass);
        if (!matchesClassSemantics(requestClass, request) || Double.isNaN(timeoutMillis)) {
            return new ValidationResult.Rejected(BAD_REQUEST);
        }
        // A known id is that of another request, which alone gets its response.
        return driver.isKnownRequestId(requestId)
                ? new ValidationResult.Rejected(CONFLICT)
                : new ValidationResult.Accepted(requestClass.name(), timeoutMillis);
    }

    /** Returns a header's value if it occurs once and is not too long, else null. */
    private static String singleValue(HttpHeaders headers, AsciiString name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 && values.get(0).length() <= MAX_VALUE_LENGTH ? values.get(0) : null;
    }

    private static boolean areAtMostOnce(HttpHeaders headers, AsciiString... names) {
        for (AsciiString name : names) {
            if (headers.contains(name) && singleValue(headers, name) == null) {
                return false;
            }
        }
        return true;
    }

    /** Returns the client's timeout in ms, that of the class if none is given, or NaN if it is malformed. */
    private static double parseTimeout(String value, Settings.RequestClass requestClass) {
        if (value == null) {
            return requestClass.deadlineMillis();
        }
        if (value.isEmpty() || value.length() > MAX_TIMEOUT_DIGITS) {
            return Double.NaN;
        }
        for (int i = 0; i < value.length(); i++) {
            if (value.charAt(i) < '0' || value.charAt(i) > '9') {
                return Double.NaN;
            }
        }
        return Math.min(Integer.parseInt(value), MAX_TIMEOUT_MILLIS);
    }

    /** Returns the first segment of a path, empty if there is none. */
    private static String classOfPath(String uri) {
        return uri.startsWith("/") ? uri.substring(1, endOfSegment(uri, 1)) : "";
    }

    private static int endOfSegment(String uri, int start) {
        int end = start;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return end;
    }

    /** Returns whether a request has the method, body and key of its class, so that the rules for its retries apply. */
    private static boolean matchesClassSemantics(Settings.RequestClass requestClass, HttpRequest request) {
        boolean isPost = request.method().equals(HttpMethod.POST);
        return switch (requestClass.semantics()) {
            case IDEMPOTENT ->
                !isPost && HttpUtil.getContentLength(request, 0L) == 0 && !HttpUtil.isTransferEncodingChunked(request);
            case DEDUPLICATED ->
                isPost
                        && !request.headers()
                                .get(ProtocolHeaders.IDEMPOTENCY_KEY, "")
                                .isBlank();
            case AT_MOST_ONCE -> isPost;
        };
    }

    /** Rewrites a target in absolute form to origin form, and sets the Host header from it (RFC 9112, 3.2.2). */
    private static void rewriteToOriginForm(HttpRequest request) {
        String uri = request.uri();
        int authority = ABSOLUTE_FORM_PREFIX.length();
        if (uri.regionMatches(true, 0, ABSOLUTE_FORM_PREFIX, 0, authority)
                && request.headers().contains(HttpHeaderNames.HOST)) {
            int path = endOfSegment(uri, authority);
            request.headers().set(HttpHeaderNames.HOST, uri.substring(authority, path));
            String target = uri.substring(path);
            request.setUri(target.startsWith("/") ? target : "/" + target);
        }
    }
}
