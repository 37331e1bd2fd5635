package rillyard.loadgen;

import java.util.List;

/**
 * Recorded requests to replay.
 *
 * @param entries requests in ascending order of time, at least one
 * @param speed factor by which the replay is faster than the recording
 */
public record RecordedTrace(List<RecordedRequest> entries, double speed) {
    /** Copies the list. */
    public RecordedTrace {
        entries = List.copyOf(entries);
    }

    /**
     * One recorded request.
     *
     * @param arrivalMicros arrival in microseconds of the recording's clock
     * @param requestClass the request's class
     * @param tenant tenant, or null
     * @param client name of the client, or null if unknown
     * @param routeKey route key, or null
     */
    public record RecordedRequest(
            long arrivalMicros, LoadClass requestClass, String tenant, String client, String routeKey) {}

    /** Returns when a request is to be sent, in nanoseconds from the first one. */
    long sendAtNanos(RecordedRequest request) {
        return (long) ((request.arrivalMicros() - entries.get(0).arrivalMicros()) * 1_000 / speed);
    }

    /** Returns the duration of the replay in seconds. */
    double seconds() {
        return sendAtNanos(entries.get(entries.size() - 1)) / 1e9;
    }
}
