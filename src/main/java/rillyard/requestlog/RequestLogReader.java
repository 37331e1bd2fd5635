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
     * @return whether the log was closed properly; otherwise its last records may be missing
     * @throws InvalidConfigException at the first line that is not a record, or if the file can't be read
     */
    public static boolean read(Path file, String logKind, Consumer<LogRecord> consumer) throws InvalidConfigException {
        int lineNumber = 0;
        boolean closedProperly = false;
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
                            "expected the header of a request log of " + logKind + ", found " + line);
                }
                closedProperly = logRecord instanceof LogTrailer;
                if (lineNumber > 1 && !closedProperly) {
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
            throw new InvalidConfigException(file.toString(), 0, "empty, expected a request log of " + logKind);
        }
        return closedProperly;
    }
}
