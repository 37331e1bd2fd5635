package rillyard.loadgen;

import java.util.List;

/**
 * Requests that were recorded, to be sent again.
 *
 * @param entries in the order of their times, one at least
 * @param speed how much faster than recorded
 */
public record RecordedTrace(List<RecordedRequest> entries, double speed) {
    /** Copies the list. */
    public RecordedTrace {
        entries = List.copyOf(entries);
    }

    /**
     * One recorded request.
     *
     * @param micros when it came, on the clock of the recording
     * @param requestClass its class
     * @param tenant its tenant, or null
     * @param client who sent it, or null where that is not known
     * @param routeKey what it was about, or null
     */
    public record RecordedRequest(long micros, LoadClass requestClass, String tenant, String client, String routeKey) {}

    /** When an entry is to be sent: nanoseconds from the first one. */
    long at(RecordedRequest request) {
        return (long) ((request.micros() - entries.get(0).micros()) * 1_000 / speed);
    }

    double seconds() {
        return at(entries.get(entries.size() - 1)) / 1e9;
    }
}
