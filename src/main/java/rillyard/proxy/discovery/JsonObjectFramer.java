package rillyard.proxy.discovery;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Splits the byte stream of a watch into JSON objects, which are on one line each or indented over many lines, with
 * blank lines between them.
 *
 * <p>An object that was cut off must not absorb the objects behind it. Therefore an object may not begin where JSON
 * allows none, a line may not end within a string, and a line within an object may not be blank, as blank lines are the
 * keep-alive of the watch. Not thread-safe.
 */
final class JsonObjectFramer {
    /** Receives complete objects and blank lines. */
    interface Listener {
        /** Is called with an object, which is the first {@code length} bytes; the array is reused after the call. */
        void onObject(byte[] bytes, int length);

        /** Is called for a blank line between objects. */
        void onBlankLine();
    }

    /** Length of the longest object that is accepted. */
    static final int MAX_BYTES = 4 << 20;

    private static final int INITIAL_CAPACITY = 4_096;

    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int size;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineHasText;
    private byte lastNonBlank;

    /**
     * Consumes the input, and reports the objects and blank lines that it completes.
     *
     * @throws MalformedEndpointListException if the stream is not a sequence of objects; the framer must not be used
     *     again
     */
    void consume(ByteBuf input, Listener listener) throws MalformedEndpointListException {
        while (input.isReadable()) {
            consume(input.readByte(), listener);
        }
    }

    private void consume(byte next, Listener listener) throws MalformedEndpointListException {
        if (next == '\n' && !inString) {
            endLine(listener);
            return;
        }
        if (depth == 0 && !inString) {
            if (isBlank(next)) {
                return;
            }
            if (next != '{') {
                throw new MalformedEndpointListException("text outside of a JSON object");
            }
        }
        consumeWithinObject(next, listener);
    }

    private static boolean isBlank(byte next) {
        return next >= 0 && next <= ' ';
    }

    private void endLine(Listener listener) throws MalformedEndpointListException {
        boolean isBlankLine = !lineHasText;
        lineHasText = false;
        if (depth > 0) {
            if (isBlankLine) {
                throw new MalformedEndpointListException("incomplete list: blank line within the JSON object");
            }
            append((byte) '\n');
        } else if (isBlankLine) {
            listener.onBlankLine();
        }
    }

    private void consumeWithinObject(byte next, Listener listener) throws MalformedEndpointListException {
        lineHasText |= !isBlank(next);
        if (inString) {
            consumeWithinString(next);
        } else {
            consumeStructure(next);
        }
        if (!isBlank(next)) {
            lastNonBlank = next;
        }
        append(next);
        if (depth == 0) {
            int length = size;
            size = 0;
            listener.onObject(buffer, length);
        }
    }

    private void consumeWithinString(byte next) throws MalformedEndpointListException {
        if (next == '\n') {
            throw new MalformedEndpointListException("incomplete list: line ends within a string");
        }
        inString = escaped || next != '"';
        escaped = next == '\\' && !escaped;
    }

    private void consumeStructure(byte next) throws MalformedEndpointListException {
        if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            if (next == '{' && depth > 0 && !mayPrecedeObject(lastNonBlank)) {
                throw new MalformedEndpointListException("incomplete list: another JSON object begins within it");
            }
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
    }

    private static boolean mayPrecedeObject(byte previous) {
        return previous == '[' || previous == ',' || previous == ':';
    }

    private void append(byte next) throws MalformedEndpointListException {
        if (size == MAX_BYTES) {
            throw new MalformedEndpointListException("list has more than " + MAX_BYTES + " bytes");
        }
        if (size == buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.min(MAX_BYTES, 2 * size));
        }
        buffer[size++] = next;
    }
}
