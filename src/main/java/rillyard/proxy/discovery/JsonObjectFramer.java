package rillyard.proxy.discovery;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Cuts what a watch says into whole lists: JSON objects, on one line each or indented over many, with blank
 * lines between them. Guards against a list that was cut off and swallows those behind it: an object may not
 * begin where JSON has no place for one, no line ends within a string, and no line within a list is blank, as
 * the blank ones say that the watch is alive.
 */
final class JsonObjectFramer {
    /** Hears what is whole. */
    interface Listener {
        /** One list, in the first {@code length} bytes; they are the caller's again afterwards. */
        void list(byte[] bytes, int length);

        /** A blank line between lists. */
        void blank();
    }

    /** Bytes of the longest list; a longer one is none. */
    static final int MOST = 4 << 20;

    private byte[] bytes = new byte[4_096];
    private int size;
    private int depth;
    private boolean string;
    private boolean escaped;
    private boolean lineHasText;
    private byte before;

    /**
     * Takes on what has come and tells the sink of all that is whole with it.
     *
     * @return why this is no sequence of lists, null as long as it may be one; nothing may be taken after that
     */
    String take(ByteBuf in, Listener sink) {
        while (in.isReadable()) {
            String wrong = take(in.readByte(), sink);
            if (wrong != null) {
                return wrong;
            }
        }
        return null;
    }

    private String take(byte b, Listener sink) {
        if (b == '\n' && !string) {
            return endOfLine(sink);
        }
        if (depth == 0 && !string) {
            if (b <= ' ' && b >= 0) {
                return null;
            }
            if (b != '{') {
                return "text outside of a list";
            }
        }
        return append(b, sink);
    }

    private String endOfLine(Listener sink) {
        boolean blank = !lineHasText;
        lineHasText = false;
        if (depth == 0) {
            if (blank) {
                sink.blank();
            }
            return null;
        }
        return blank ? "a list without an end" : keep((byte) '\n');
    }

    private String append(byte b, Listener sink) {
        lineHasText |= b > ' ' || b < 0;
        if (string) {
            if (b == '\n') {
                return "a line that ends within a string";
            }
            string = escaped || b != '"';
            escaped = b == '\\' && !escaped;
        } else if (b == '"') {
            string = true;
        } else if (b == '{' || b == '[') {
            if (b == '{' && depth > 0 && before != '[' && before != ',' && before != ':') {
                return "a list within another";
            }
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
        if (b > ' ' || b < 0) {
            before = b;
        }
        String wrong = keep(b);
        if (wrong == null && depth == 0) {
            int length = size;
            size = 0;
            sink.list(bytes, length);
        }
        return wrong;
    }

    private String keep(byte b) {
        if (size == MOST) {
            return "a list of more than " + MOST + " bytes";
        }
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(MOST, 2 * size));
        }
        bytes[size++] = b;
        return null;
    }
}
