package rillyard.requestlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * Writes a ledger. Lines are gathered in a block and handed to a thread of its own, whole lines
 * only, so that a slow disk does not hold up an event loop until {@value #BLOCKS} blocks wait; from
 * there on it does, since a ledger with a hole in it proves nothing. Safe for several threads.
 */
public final class RequestLogWriter implements AutoCloseable {
    private static final int BLOCK = 64 * 1024;
    private static final int BLOCKS = 256;
    private static final byte[] END = new byte[0];

    private final BlockingQueue<byte[]> blocks = new ArrayBlockingQueue<>(BLOCKS);
    private final ByteArrayOutputStream block = new ByteArrayOutputStream(BLOCK + 1_024);
    private final JsonGenerator generator;
    private final OutputStream out;
    private final Thread writer;
    private volatile IOException failure;
    private long lines;
    private boolean closed;

    private RequestLogWriter(OutputStream out) throws IOException {
        this.out = out;
        this.generator = new JsonFactory().createGenerator(block);
        generator.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        this.writer = new Thread(this::drain, "ledger");
        writer.setDaemon(true);
        writer.start();
    }

    /** Begins a ledger in a file, in place of what is there. */
    public static RequestLogWriter open(Path file, LogHeader head) throws IOException {
        RequestLogWriter writer = new RequestLogWriter(Files.newOutputStream(file));
        writer.append(head);
        return writer;
    }

    /** A ledger that keeps nothing, and costs nothing. */
    public static RequestLogWriter disabled() {
        try {
            RequestLogWriter writer = new RequestLogWriter(OutputStream.nullOutputStream());
            writer.close();
            return writer;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // never: there is nothing that could fail
        }
    }

    /** Adds a line; without effect once the ledger is closed. */
    public synchronized void append(LogRecord line) {
        if (closed) {
            return;
        }
        try {
            line.write(generator);
            lines++;
            generator.flush();
            if (block.size() >= BLOCK) {
                hand();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // never: the block lies in memory
        }
    }

    /** Hands on what was gathered so far, so that a reader finds it. */
    public synchronized void flush() {
        if (!closed && block.size() > 0) {
            hand();
        }
    }

    private void hand() {
        byte[] b = block.toByteArray();
        block.reset();
        put(b);
    }

    private void put(byte[] b) {
        boolean interrupted = false;
        while (true) {
            try {
                blocks.put(b);
                break;
            } catch (InterruptedException e) {
                interrupted = true; // the lines go first: a cut ledger proves nothing
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain() {
        try (out) {
            byte[] b;
            while ((b = blocks.take()) != END) {
                if (failure != null) {
                    continue; // the queue is emptied, so that nobody waits for a disk that is full
                }
                try {
                    out.write(b, 0, b.length);
                    out.flush();
                } catch (IOException e) {
                    failure = e;
                }
            }
            if (failure == null) {
                out.write('\n');
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How many lines it holds. */
    public synchronized long lines() {
        return lines;
    }

    /**
     * Ends the ledger: all lines are in the file, the last one says so.
     *
     * @throws IOException if any could not be written
     */
    @Override
    public void close() throws IOException {
        synchronized (this) {
            if (closed) {
                return;
            }
            append(new LogTrailer(UnixClock.micros(), lines));
            closed = true;
            hand();
            put(END);
        }
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw failure;
        }
    }
}
