package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import rillyard.config.InvalidConfigException;

/** Reads a ledger line by line, in memory that doesn't grow with it. */
public final class RequestLogReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RequestLogReader() {}

    /**
     * Hands each line behind the head to {@code to}.
     *
     * @param of what the head must say: {@code clients} or {@code hosts}
     * @return whether the ledger was closed in order; one that was not may lack its last lines
     * @throws InvalidConfigException at the first line that is none
     */
    public static boolean read(Path file, String of, Consumer<LogRecord> to) throws InvalidConfigException {
        int number = 0;
        boolean ended = false;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            String text;
            while ((text = in.readLine()) != null) {
                number++;
                if (text.isBlank()) {
                    continue;
                }
                LogRecord line = LogRecord.read(JSON.readTree(text));
                if (number == 1
                        && !(line instanceof LogHeader header && header.of().equals(of))) {
                    throw new IllegalArgumentException("expected the head of a ledger of " + of + ", found " + text);
                }
                ended = line instanceof LogTrailer;
                if (number > 1 && !ended) {
                    to.accept(line);
                }
            }
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(
                    file.toString(), number, "expected a JSON object: " + e.getOriginalMessage());
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(file.toString(), number, e.getMessage());
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), number, "can't be read: " + e);
        }
        if (number == 0) {
            throw new InvalidConfigException(file.toString(), 0, "empty, expected a ledger of " + of);
        }
        return ended;
    }
}
