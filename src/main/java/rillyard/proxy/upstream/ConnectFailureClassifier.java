package rillyard.proxy.upstream;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Set;
import rillyard.proxy.logging.ProxyLog;

/**
 * Tells connects that failed on this machine (no socket, port, buffer or route) from those that failed at the host.
 *
 * <p>A failure that neither its class nor its message assigns, such as ENETUNREACH, tells of the host only where other
 * hosts are reached: where another one was since the host's failure before. The first such failure of a host counts as
 * local. Confined to the event loop.
 */
final class ConnectFailureClassifier {
    /**
     * Messages of ENOBUFS, ENOMEM, ENFILE and EMFILE, for which the JDK has no class. Where the C library translates
     * them, such a failure is judged as one without a route is.
     */
    private static final Set<String> LOCAL_MESSAGES = Set.of(
            "No buffer space available",
            "Cannot allocate memory",
            "Too many open files in system",
            "Too many open files");

    /** Messages of failures that a packet of the host has caused, for which the JDK has no class either. */
    private static final Set<String> HOST_MESSAGES = Set.of(
            "Connection reset by peer", "Connection reset", "Software caused connection abort", "Protocol error");

    /** One log line is written for so many local failures. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    private final ProxyLog log;
    private long reached;
    private long localFailures;

    ConnectFailureClassifier(ProxyLog log) {
        this.log = log;
    }

    /** Records that a connection to the host came up, or brought a response. */
    void onReached(UpstreamHost host) {
        reached++;
        host.onReached();
    }

    /** Reports the failed connect to the call. */
    void report(UpstreamCall call, Throwable failure) {
        if (isOfHost(call.host(), failure)) {
            call.onNotSent();
        } else {
            reportLocal(call, failure);
        }
    }

    /** Reports to the call that this machine has no socket or descriptor for it. */
    void reportLocal(UpstreamCall call, Throwable failure) {
        if (localFailures++ % FAILURES_PER_LOG_LINE == 0) {
            log.info(() -> "upstream: local failure, count=" + localFailures + " cause=" + failure);
        }
        call.onLocalFailure();
    }

    /** Returns whether the failure of a connect tells of the host; counts those without a route. */
    boolean isOfHost(UpstreamHost host, Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            String message = String.valueOf(cause.getMessage());
            if (cause instanceof BindException || LOCAL_MESSAGES.contains(message)) {
                return false; // no port is left, or no buffer
            }
            if (HOST_MESSAGES.contains(message)) {
                return true;
            }
        }
        boolean isAnsweredOrTimedOut = failure instanceof ConnectException || failure instanceof NoRouteToHostException;
        return isAnsweredOrTimedOut || !(failure instanceof SocketException) || host.onUnreachable(reached);
    }
}
