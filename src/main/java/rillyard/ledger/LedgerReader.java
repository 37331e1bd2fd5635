package rillyard.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import rillyard.input.InvalidFileException;

/** Reads a ledger line by line, in memory that doesn't grow with it. */
public final class LedgerReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LedgerReader() {}

    /**
     * Hands each line behind the head to {@code to}.
     *
     * @param of what the head must say: {@code clients} or {@code hosts}
     * @return whether the ledger was closed in order; one that was not may lack its last lines
     * @throws InvalidFileException at the first line that is none
     */
    public static boolean read(Path file, String of, Consumer<LedgerLine> to) throws InvalidFileException {
        int number = 0;
        boolean ended = false;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            String text;
            while ((text = in.readLine()) != null) {
                number++;
                if (text.isBlank()) {
                    continue;
                }
                LedgerLine line = LedgerLine.read(JSON.readTree(text));
                if (number == 1 && !(line instanceof LedgerHead h && h.of().equals(of))) {
                    throw new IllegalArgumentException("expected the head of a ledger of " + of + ", found " + text);
                }
                ended = line instanceof LedgerEnd;
                if (number > 1 && !ended) {
                    to.accept(line);
                }
            }
        } catch (JsonProcessingException e) {
            throw new InvalidFileException(
                    file.toString(), number, "expected a JSON object: " + e.getOriginalMessage());
        } catch (IllegalArgumentException e) {
            throw new InvalidFileException(file.toString(), number, e.getMessage());
        } catch (IOException e) {
            throw new InvalidFileException(file.toString(), number, "can't be read: " + e);
        }
        if (number == 0) {
            throw new InvalidFileException(file.toString(), 0, "empty, expected a ledger of " + of);
        }
        return ended;
    }
}
