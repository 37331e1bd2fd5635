package rillyard.proxy.upstream;

import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Set;
import rillyard.proxy.logging.ProxyLog;

/**
 * Distinguishes connects that failed on this machine (no socket, port, buffer or route) from those that failed at the
 * host.
 *
 * <p>A failure that neither its class nor its message classifies, such as ENETUNREACH, counts against the host only if
 * another host has been reached since this host's previous such failure. A host's first such failure, and the first one
 * since it was reached, count as local. Confined to the event loop.
 */
final class ConnectFailureClassifier {
    /**
     * Messages of ENOBUFS, ENOMEM, ENFILE and EMFILE, for which the JDK has no exception class. If the C library
     * translates them, such a failure is classified like one without a route.
     */
    private static final Set<String> LOCAL_MESSAGES = Set.of(
            "No buffer space available",
            "Cannot allocate memory",
            "Too many open files in system",
            "Too many open files");

    /** Messages of failures that a packet from the host has caused, for which the JDK has no exception class either. */
    private static final Set<String> HOST_MESSAGES = Set.of(
            "Connection reset by peer", "Connection reset", "Software caused connection abort", "Protocol error");

    /** Number of local failures for which one log line is written. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    private final ProxyLog log;
    private long reachedCount;
    private long localFailures;

    ConnectFailureClassifier(ProxyLog log) {
        this.log = log;
    }

    /** Records that a connection to the host was established or has received a response. */
    void onReached(UpstreamHost host) {
        reachedCount++;
        host.onReached();
    }

    /** Reports the failed connect to the call. */
    void report(UpstreamCall call, Throwable failure) {
        if (isHostFailure(call.host(), failure)) {
            call.onSendFailed();
        } else {
            reportLocal(call, failure);
        }
    }

    /** Reports to the call that its connect has failed on this machine. */
    void reportLocal(UpstreamCall call, Throwable failure) {
        if (localFailures++ % FAILURES_PER_LOG_LINE == 0) {
            log.info(() -> "upstream: local failure, count=" + localFailures + " cause=" + failure);
        }
        call.onLocalFailure();
    }

    /** Returns whether the failure of a connect counts against the host; records failures without a route. */
    boolean isHostFailure(UpstreamHost host, Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            String message = String.valueOf(cause.getMessage());
            if (cause instanceof BindException || LOCAL_MESSAGES.contains(message)) {
                return false; // no free port, buffer or descriptor
            }
            if (HOST_MESSAGES.contains(message)) {
                return true;
            }
        }
        boolean isAnsweredOrTimedOut = failure instanceof ConnectException || failure instanceof NoRouteToHostException;
        return isAnsweredOrTimedOut || !(failure instanceof SocketException) || host.onUnreachable(reachedCount);
    }
}
