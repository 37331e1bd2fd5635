package rillyard.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the lines of one reply as bytes. The methods return the writer itself. Not thread-safe. */
final class WireWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 14;
    private static final int MAX_LONG_LENGTH = 20;
    private static final int MICROS_PER_MILLI = 1_000;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    /** Appends ASCII characters unchanged. */
    WireWriter word(String word) {
        int length = word.length();
        ensureCapacity(length);
        for (int index = 0; index < length; index++) {
            buffer[size++] = (byte) word.charAt(index);
        }
        return this;
    }

    /** Appends an integer. */
    WireWriter number(long number) {
        ensureCapacity(MAX_LONG_LENGTH);
        if (number < 0) {
            buffer[size++] = '-';
        }
        int first = size;
        long rest = Math.abs(number);
        do {
            buffer[size++] = (byte) ('0' + rest % 10);
            rest /= 10;
        } while (rest > 0);
        reverse(first, size - 1);
        return this;
    }

    private void reverse(int first, int last) {
        for (int left = first, right = last; left < right; left++, right--) {
            byte swapped = buffer[left];
            buffer[left] = buffer[right];
            buffer[right] = swapped;
        }
    }

    /** Appends a time in ms, with three decimals if it is not a whole number of ms. */
    WireWriter time(double millis) {
        long micros = Math.round(millis * MICROS_PER_MILLI);
        if (micros < 0) {
            word("-");
            micros = -micros;
        }
        number(micros / MICROS_PER_MILLI);
        long fraction = micros % MICROS_PER_MILLI;
        if (fraction > 0) {
            ensureCapacity(4);
            buffer[size++] = '.';
            buffer[size++] = (byte) ('0' + fraction / 100);
            buffer[size++] = (byte) ('0' + fraction / 10 % 10);
            buffer[size++] = (byte) ('0' + fraction % 10);
        }
        return this;
    }

    /** Appends free text in UTF-8, with line ends replaced by spaces. */
    WireWriter text(String text) {
        byte[] bytes = text.replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }

    /** Ends the line. */
    void endLine() {
        ensureCapacity(1);
        buffer[size++] = '\n';
    }

    private void ensureCapacity(int more) {
        if (size + more > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + more));
        }
    }

    /** Writes the collected lines and clears the buffer. */
    void flush(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }
}
