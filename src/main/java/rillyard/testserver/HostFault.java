package rillyard.testserver;

import java.util.Locale;

/**
 * A fault to inject into a host or into discovery.
 *
 * @param startMillis start time in milliseconds from the start of the fault schedule
 * @param durationMillis duration in milliseconds; for {@code DRAIN} the time until the host stops; 0 for no end
 * @param kind kind of fault
 * @param host id of the host; empty for faults of discovery
 * @param magnitude share of requests affected, 0 to 1; for {@code SLOW} the factor on the service time
 * @param restartMillis for {@code KILL} and {@code DRAIN}, delay in milliseconds from the stop until a host starts in
 *     its place; negative for never
 * @param newId whether the replacement has a new id
 */
public record HostFault(
        double startMillis,
        double durationMillis,
        Kind kind,
        String host,
        double magnitude,
        double restartMillis,
        boolean newId) {

    /** Kinds of fault. */
    public enum Kind {
        /** The process stalls, as in a long garbage collection; requests that arrive meanwhile are served after it. */
        PAUSE,
        /** Requests are accepted and run but never answered. */
        HANG,
        /** Requests are not run and get 500 at once. */
        ERRORS,
        /** Requests are run and the connection is reset in the middle of the response. */
        RESET,
        /** Requests take longer. */
        SLOW,
        /** Requests are run and get a malformed response. */
        GARBLE,
        /** The process is killed: its connections are reset and new ones are refused. */
        KILL,
        /** Discovery announces that the host is draining; it stops when the fault's duration is over. */
        DRAIN,
        /** Discovery keeps its watches open but sends no changes. */
        DISCOVERY_STALE,
        /** Discovery is unresponsive: it sends nothing at all. */
        DISCOVERY_SILENT;

        /** Returns whether this fault concerns discovery rather than a host. */
        boolean isDiscoveryFault() {
            return this == DISCOVERY_STALE || this == DISCOVERY_SILENT;
        }
    }

    /** Returns a short description for request logs and reports. */
    public String description() {
        String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return switch (kind) {
            case SLOW -> name + " x" + magnitude;
            case ERRORS, RESET, GARBLE -> magnitude < 1 ? name + " " + Math.round(100 * magnitude) + " %" : name;
            default -> name;
        };
    }
}
