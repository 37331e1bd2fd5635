package rillyard.testserver;

import java.util.Locale;

/**
 * Something that goes wrong.
 *
 * @param startMillis when it begins, from the start of the test cluster
 * @param durationMillis how long it lasts; for a drain, until the host stops; 0 where it has no end
 * @param kind what it is
 * @param host id of the host; empty for faults of discovery
 * @param magnitude the share of requests, from 0 to 1, that it meets; the factor of {@code SLOW}
 * @param restartMillis for {@code KILL} and {@code DRAIN}: a host starts in its place so long after it has
 *     stopped; below 0 for never
 * @param newId whether that host has a new id
 */
public record HostFault(
        double startMillis,
        double durationMillis,
        Kind kind,
        String host,
        double magnitude,
        double restartMillis,
        boolean newId) {

    /** What can go wrong. */
    public enum Kind {
        /** All stands still, as in a long collection of garbage; what came meanwhile is served after. */
        PAUSE,
        /** Takes work and answers nothing. */
        HANG,
        /** Runs nothing and answers 500 at once. */
        ERRORS,
        /** Runs the request and resets the connection in the middle of the answer. */
        RESET,
        /** Takes longer. */
        SLOW,
        /** Runs the request and spoils the answer. */
        GARBLE,
        /** Dies: connections are reset, new ones rejected. */
        KILL,
        /** Discovery says that it drains; it stops when the time is up. */
        DRAIN,
        /** Discovery keeps its watches and tells nothing new. */
        DISCOVERY_STALE,
        /** Discovery says nothing at all. */
        DISCOVERY_SILENT;

        boolean isDiscoveryFault() {
            return this == DISCOVERY_STALE || this == DISCOVERY_SILENT;
        }
    }

    /** In words, for request logs and reports. */
    public String description() {
        String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return switch (kind) {
            case SLOW -> name + " x" + magnitude;
            case ERRORS, RESET, GARBLE -> magnitude < 1 ? name + " " + Math.round(100 * magnitude) + " %" : name;
            default -> name;
        };
    }
}
