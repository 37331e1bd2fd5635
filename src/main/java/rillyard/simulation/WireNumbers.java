package rillyard.simulation;

import java.nio.charset.StandardCharsets;

/** Parses numbers from bytes without allocation in the usual case. */
final class WireNumbers {
    /** Maximum number of digits for which every integer fits a {@code long}. */
    private static final int MAX_LONG_DIGITS = 18;

    /** Length up to which digits and scale are exact {@code double}s, so that their quotient is rounded correctly. */
    private static final int MAX_EXACT_LENGTH = 16;

    private WireNumbers() {}

    /**
     * Parses an integer with an optional minus sign.
     *
     * @throws NumberFormatException if the bytes are anything else, or more than 18 digits
     */
    static long parseLong(byte[] bytes, int from, int to) {
        boolean negative = from < to && bytes[from] == '-';
        int first = negative ? from + 1 : from;
        if (first >= to || to - first > MAX_LONG_DIGITS) {
            throw new NumberFormatException("not a whole number");
        }
        long value = 0;
        for (int index = first; index < to; index++) {
            int digit = bytes[index] - '0';
            if (digit < 0 || digit > 9) {
                throw new NumberFormatException("not a whole number");
            }
            value = 10 * value + digit;
        }
        return negative ? -value : value;
    }

    /**
     * Parses a finite number.
     *
     * @throws NumberFormatException if the bytes are anything else
     */
    static double parseDouble(byte[] bytes, int from, int to) {
        if (from >= to) {
            throw new NumberFormatException("not a number");
        }
        long digits = 0;
        double scale = 1;
        boolean inFraction = false;
        for (int index = from; index < to; index++) {
            int next = bytes[index];
            if (next == '.' && !inFraction && to - from > 1) {
                inFraction = true;
            } else if (next >= '0' && next <= '9' && to - from <= MAX_EXACT_LENGTH) {
                digits = 10 * digits + (next - '0');
                scale = inFraction ? 10 * scale : scale;
            } else {
                return parseOtherDouble(bytes, from, to);
            }
        }
        return digits / scale;
    }

    /** Parses a number that has a sign or an exponent, or that is too long for the fast path. */
    private static double parseOtherDouble(byte[] bytes, int from, int to) {
        double value = Double.parseDouble(new String(bytes, from, to - from, StandardCharsets.UTF_8));
        if (!Double.isFinite(value)) {
            throw new NumberFormatException("not a finite number");
        }
        return value;
    }
}
