package rillyard.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import rillyard.settings.MalformedInputException;

/** Splits a stream into lines without copying them. Not thread-safe. */
final class WireReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;

    WireReader(InputStream in) {
        this.in = in;
    }

    /**
     * Parses the next line into {@code message}, which is valid until the next call.
     *
     * @return false at the end of the input
     * @throws MalformedInputException if the line is malformed, or the input ends within it
     */
    boolean next(WireMessage message) throws IOException {
        int scanned = from;
        while (true) {
            for (int index = scanned; index < to; index++) {
                if (buffer[index] == '\n') {
                    int start = from;
                    from = index + 1;
                    boolean carriageReturn = index > start && buffer[index - 1] == '\r';
                    message.parse(buffer, start, carriageReturn ? index - 1 : index);
                    return true;
                }
            }
            makeRoom();
            scanned = to;
            int read = in.read(buffer, to, buffer.length - to);
            if (read < 0) {
                if (to > from) {
                    throw new MalformedInputException("the input ends in the middle of a line");
                }
                return false;
            }
            to += read;
        }
    }

    private void makeRoom() {
        if (from > 0) {
            System.arraycopy(buffer, from, buffer, 0, to - from);
            to -= from;
            from = 0;
        } else if (to == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
    }
}
