package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** One line of a ledger: a JSON object whose field {@code k} names its kind. */
public sealed interface LogRecord
        permits LogHeader, LogTrailer, ClientAttempt, UnexpectedResponse, HostExecution, HostEvent, WatchNotification {
    /** Writes the object. */
    void write(JsonGenerator g) throws IOException;

    /**
     * The line that an object holds.
     *
     * @throws IllegalArgumentException if it is none; the message says what was expected
     */
    static LogRecord read(JsonNode n) {
        return switch (JsonFields.text(n, "k")) {
            case LogHeader.KIND -> LogHeader.read(n);
            case LogTrailer.KIND -> LogTrailer.read(n);
            case ClientAttempt.KIND -> ClientAttempt.read(n);
            case UnexpectedResponse.KIND -> UnexpectedResponse.read(n);
            case HostExecution.KIND -> HostExecution.read(n);
            case HostEvent.KIND -> HostEvent.read(n);
            case WatchNotification.KIND -> WatchNotification.read(n);
            default ->
                throw new IllegalArgumentException(
                        "k: found " + n.path("k") + ", expected head, try, surplus, run, host, told or end");
        };
    }
}
