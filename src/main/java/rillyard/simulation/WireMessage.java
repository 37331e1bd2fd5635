package rillyard.simulation;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rillyard.settings.MalformedInputException;

/**
 * Parses one line of the form {@code name key=value key=value ...} in place, without copying its bytes.
 *
 * <p>An instance is reused for successive lines; its fields are valid until the buffer changes. The accessors throw
 * {@link MalformedInputException} if a field is missing or not of the requested type. Not thread-safe.
 */
final class WireMessage {
    private static final int MAX_EXCERPT_BYTES = 60;
    private static final int INITIAL_FIELDS = 16;

    private byte[] buffer = {};
    private int start;
    private int end;
    private int nameEnd;
    private int fieldCount;
    private int[] keyStart = new int[INITIAL_FIELDS];
    private int[] keyEnd = new int[INITIAL_FIELDS];
    private int[] valueEnd = new int[INITIAL_FIELDS];

    /** Parses the line in {@code bytes[from, to)}; values of {@code conf} and {@code text} extend to the line's end. */
    void parse(byte[] bytes, int from, int to) {
        buffer = bytes;
        start = from;
        end = to;
        fieldCount = 0;
        nameEnd = indexOf(' ', from);
        if (nameEnd == start) {
            throw malformed("the line has no name");
        }
        int position = nameEnd;
        while (position < end) {
            position = parseField(position + 1);
        }
    }

    /** Parses the field whose key starts at {@code key} and returns the end of the field. */
    private int parseField(int key) {
        int equals = key;
        while (equals < end && buffer[equals] != '=' && buffer[equals] != ' ') {
            equals++;
        }
        if (equals >= end || buffer[equals] != '=' || equals == key) {
            throw malformed("a field does not have the form key=value");
        }
        boolean freeText = matches(key, equals, "conf") || matches(key, equals, "text");
        int fieldEnd = freeText ? end : indexOf(' ', equals);
        addField(key, equals, fieldEnd);
        return fieldEnd;
    }

    /** Returns the index of the next occurrence of a byte in the line, or the end of the line if there is none. */
    private int indexOf(char wanted, int from) {
        int index = from;
        while (index < end && buffer[index] != wanted) {
            index++;
        }
        return index;
    }

    private void addField(int key, int equals, int fieldEnd) {
        if (fieldCount == keyStart.length) {
            keyStart = Arrays.copyOf(keyStart, 2 * fieldCount);
            keyEnd = Arrays.copyOf(keyEnd, 2 * fieldCount);
            valueEnd = Arrays.copyOf(valueEnd, 2 * fieldCount);
        }
        keyStart[fieldCount] = key;
        keyEnd[fieldCount] = equals;
        valueEnd[fieldCount] = fieldEnd;
        fieldCount++;
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int index = 0; index < text.length(); index++) {
            if (buffer[from + index] != text.charAt(index)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the line has this name. */
    boolean isNamed(String name) {
        return matches(start, nameEnd, name);
    }

    String name() {
        return text(start, nameEnd);
    }

    /** Returns the index of a field, or -1 if there is none. */
    private int find(String key) {
        for (int field = 0; field < fieldCount; field++) {
            if (matches(keyStart[field], keyEnd[field], key)) {
                return field;
            }
        }
        return -1;
    }

    private int require(String key) {
        int field = find(key);
        if (field < 0) {
            throw malformed("field '" + key + "' is missing");
        }
        return field;
    }

    /** Returns a required integer. */
    long number(String key) {
        return longValue(require(key), key);
    }

    /** Returns an integer, or {@code defaultValue} if the field is missing. */
    long number(String key, long defaultValue) {
        int field = find(key);
        return field < 0 ? defaultValue : longValue(field, key);
    }

    private long longValue(int field, String key) {
        try {
            return WireNumbers.parseLong(buffer, keyEnd[field] + 1, valueEnd[field]);
        } catch (NumberFormatException e) {
            throw malformed("field '" + key + "' is not a whole number", e);
        }
    }

    /** Returns a required finite number. */
    double decimal(String key) {
        int field = require(key);
        return doubleValue(keyEnd[field] + 1, valueEnd[field], key);
    }

    /** Returns a finite number, or {@code defaultValue} if the field is missing. */
    double decimal(String key, double defaultValue) {
        int field = find(key);
        return field < 0 ? defaultValue : doubleValue(keyEnd[field] + 1, valueEnd[field], key);
    }

    private double doubleValue(int from, int to, String key) {
        try {
            return WireNumbers.parseDouble(buffer, from, to);
        } catch (NumberFormatException e) {
            throw malformed("field '" + key + "' is not a number", e);
        }
    }

    /** Returns whether the field is present and has the value {@code 1}. */
    boolean flag(String key) {
        int field = find(key);
        return field >= 0 && matches(keyEnd[field] + 1, valueEnd[field], "1");
    }

    /** Returns a required text. */
    String string(String key) {
        int field = require(key);
        return text(keyEnd[field] + 1, valueEnd[field]);
    }

    /** Returns a text, or {@code defaultValue} if the field is missing. */
    String string(String key, String defaultValue) {
        int field = find(key);
        return field < 0 ? defaultValue : text(keyEnd[field] + 1, valueEnd[field]);
    }

    /**
     * Returns the values of a field of the form {@code name:value,name:value}, in the order of {@code names}. An
     * absent value is NaN, an unknown name is skipped, and {@code -} stands for a field without values.
     *
     * @return null if the field is missing
     */
    double[] metrics(String key, String... names) {
        int field = find(key);
        if (field < 0) {
            return null;
        }
        double[] values = new double[names.length];
        Arrays.fill(values, Double.NaN);
        int from = keyEnd[field] + 1;
        while (from < valueEnd[field]) {
            int to = Math.min(indexOf(',', from), valueEnd[field]);
            parseMetric(from, to, key, names, values);
            from = to + 1;
        }
        return values;
    }

    private void parseMetric(int from, int to, String key, String[] names, double[] values) {
        int colon = Math.min(indexOf(':', from), to);
        if (colon < to) {
            for (int index = 0; index < names.length; index++) {
                if (matches(from, colon, names[index])) {
                    values[index] = doubleValue(colon + 1, to, key);
                }
            }
        } else if (to > from && !matches(from, to, "-")) {
            throw malformed("field '" + key + "' is not a list of name:value pairs");
        }
    }

    private String text(int from, int to) {
        return new String(buffer, from, to - from, StandardCharsets.UTF_8);
    }

    /** Returns an exception whose message contains {@code reason} and the start of the line. */
    MalformedInputException malformed(String reason) {
        return malformed(reason, null);
    }

    private MalformedInputException malformed(String reason, Throwable cause) {
        String excerpt = text(start, Math.min(end, start + MAX_EXCERPT_BYTES));
        return new MalformedInputException("malformed line: " + reason + ": " + excerpt, cause);
    }
}
