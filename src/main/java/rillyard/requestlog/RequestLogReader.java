package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import rillyard.config.InvalidConfigException;

/** Reads a request log line by line, in constant memory. */
public final class RequestLogReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RequestLogReader() {}

    /**
     * Reads a log and passes each record between header and trailer to a consumer.
     *
     * @param logKind the expected kind: {@code clients} or {@code hosts}
     * @return whether the log was closed in order; one that was not may lack its last records
     * @throws InvalidConfigException at the first line that is no record, or if the file can't be read
     */
    public static boolean read(Path file, String logKind, Consumer<LogRecord> consumer) throws InvalidConfigException {
        int lineNumber = 0;
        boolean closedInOrder = false;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            String line;
            while ((line = in.readLine()) != null) {
                lineNumber++;
                if (line.isBlank()) {
                    continue;
                }
                LogRecord logRecord = LogRecord.read(JSON.readTree(line));
                if (lineNumber == 1
                        && !(logRecord instanceof LogHeader header
                                && header.logKind().equals(logKind))) {
                    throw new IllegalArgumentException(
                            "expected the head of a ledger of " + logKind + ", found " + line);
                }
                closedInOrder = logRecord instanceof LogTrailer;
                if (lineNumber > 1 && !closedInOrder) {
                    consumer.accept(logRecord);
                }
            }
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(
                    file.toString(), lineNumber, "expected a JSON object: " + e.getOriginalMessage());
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(file.toString(), lineNumber, e.getMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), lineNumber, "can't be read: " + e);
        }
        if (lineNumber == 0) {
            throw new InvalidConfigException(file.toString(), 0, "empty, expected a ledger of " + logKind);
        }
        return closedInOrder;
    }
}
