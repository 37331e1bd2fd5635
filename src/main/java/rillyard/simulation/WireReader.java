package rillyard.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import rillyard.settings.MalformedInputException;

/** Cuts a stream into lines without copying them; a line is valid until the next call. */
final class WireReader {
    private final InputStream in;
    private byte[] buf = new byte[1 << 16];
    private int from;
    private int to;

    WireReader(InputStream in) {
        this.in = in;
    }

    /** Points {@code line} at the next line; false at the end of the input. */
    boolean next(WireMessage line) throws IOException {
        int scanned = from;
        while (true) {
            for (int i = scanned; i < to; i++) {
                if (buf[i] == '\n') {
                    int start = from;
                    from = i + 1;
                    line.parse(buf, start, i > start && buf[i - 1] == '\r' ? i - 1 : i);
                    return true;
                }
            }
            int pending = to - from;
            if (from > 0) {
                System.arraycopy(buf, from, buf, 0, pending);
                from = 0;
                to = pending;
            } else if (to == buf.length) {
                buf = Arrays.copyOf(buf, 2 * buf.length);
            }
            scanned = to;
            int n = in.read(buf, to, buf.length - to);
            if (n < 0) {
                if (to > from) {
                    throw new MalformedInputException("the input ends in the middle of a line");
                }
                return false;
            }
            to += n;
        }
    }
}
