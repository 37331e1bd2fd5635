package rillyard.simulation;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the lines of one reply as bytes. */
final class WireWriter {
    private byte[] buf = new byte[1 << 14];
    private int size;

    WireWriter word(String s) {
        int n = s.length();
        room(n);
        for (int i = 0; i < n; i++) {
            buf[size++] = (byte) s.charAt(i);
        }
        return this;
    }

    WireWriter number(long v) {
        room(20);
        if (v < 0) {
            buf[size++] = '-';
            v = -v;
        }
        int first = size;
        do {
            buf[size++] = (byte) ('0' + v % 10);
            v /= 10;
        } while (v > 0);
        for (int i = first, j = size - 1; i < j; i++, j--) {
            byte b = buf[i];
            buf[i] = buf[j];
            buf[j] = b;
        }
        return this;
    }

    /** A time in ms with microseconds. */
    WireWriter time(double ms) {
        long us = Math.round(ms * 1000);
        if (us < 0) {
            word("-");
            us = -us;
        }
        number(us / 1000);
        long rest = us % 1000;
        if (rest > 0) {
            room(4);
            buf[size++] = '.';
            buf[size++] = (byte) ('0' + rest / 100);
            buf[size++] = (byte) ('0' + rest / 10 % 10);
            buf[size++] = (byte) ('0' + rest % 10);
        }
        return this;
    }

    /** Free text, kept to one line. */
    WireWriter text(String s) {
        byte[] b = s.replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        room(b.length);
        System.arraycopy(b, 0, buf, size, b.length);
        size += b.length;
        return this;
    }

    void end() {
        room(1);
        buf[size++] = '\n';
    }

    private void room(int n) {
        if (size + n > buf.length) {
            buf = Arrays.copyOf(buf, Math.max(2 * buf.length, size + n));
        }
    }

    void flush(OutputStream out) throws IOException {
        out.write(buf, 0, size);
        out.flush();
        size = 0;
    }
}
