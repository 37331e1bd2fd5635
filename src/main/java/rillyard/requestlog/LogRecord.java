package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** One line of a request log: a JSON object whose field {@code k} names its kind. */
public sealed interface LogRecord
        permits LogHeader, LogTrailer, ClientAttempt, UnexpectedResponse, HostExecution, HostEvent, WatchNotification {
    /** Writes this record as a JSON object. */
    void write(JsonGenerator json) throws IOException;

    /**
     * Parses a record from its JSON object.
     *
     * @throws IllegalArgumentException if the object is not a valid record; the message says what was expected
     */
    static LogRecord read(JsonNode node) {
        return switch (JsonFields.text(node, "k")) {
            case LogHeader.KIND -> LogHeader.read(node);
            case LogTrailer.KIND -> LogTrailer.read(node);
            case ClientAttempt.KIND -> ClientAttempt.read(node);
            case UnexpectedResponse.KIND -> UnexpectedResponse.read(node);
            case HostExecution.KIND -> HostExecution.read(node);
            case HostEvent.KIND -> HostEvent.read(node);
            case WatchNotification.KIND -> WatchNotification.read(node);
            default ->
                throw new IllegalArgumentException(
                        "k: found " + node.path("k") + ", expected head, try, surplus, run, host, told or end");
        };
    }
}
