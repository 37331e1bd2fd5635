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
 * Writes a request log. Records are collected in blocks that a separate thread writes, so that a slow disk does not
 * block an event loop. Once {@value #MAX_QUEUED_BLOCKS} blocks are queued, the caller is blocked, since a request log
 * with a gap proves nothing. Thread-safe.
 */
public final class RequestLogWriter implements AutoCloseable {
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_BLOCKS = 256;
    private static final byte[] END_OF_LOG = new byte[0];

    private final BlockingQueue<byte[]> queuedBlocks = new ArrayBlockingQueue<>(MAX_QUEUED_BLOCKS);
    private final ByteArrayOutputStream block = new ByteArrayOutputStream(BLOCK_BYTES + 1_024);
    private final JsonGenerator generator;
    private final OutputStream out;
    private final Thread writer;
    private volatile IOException failure;
    private long recordCount;
    private boolean closed;

    private RequestLogWriter(OutputStream out) throws IOException {
        this.out = out;
        this.generator = new JsonFactory().createGenerator(block);
        generator.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        this.writer = new Thread(this::writeBlocks, "request-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Creates a log file, replacing an existing one, and starts its writer thread.
     *
     * @throws IOException if the file can't be created
     */
    public static RequestLogWriter open(Path file, LogHeader header) throws IOException {
        RequestLogWriter writer = new RequestLogWriter(Files.newOutputStream(file));
        writer.append(header);
        return writer;
    }

    /** Returns a log that discards all records. */
    public static RequestLogWriter disabled() {
        try {
            RequestLogWriter writer = new RequestLogWriter(OutputStream.nullOutputStream());
            writer.close();
            return writer;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen: the null stream does not fail
        }
    }

    /**
     * Appends a record; does nothing once the log is closed. Blocks while {@value #MAX_QUEUED_BLOCKS} blocks are queued
     * for the disk.
     */
    public synchronized void append(LogRecord logRecord) {
        if (closed) {
            return;
        }
        try {
            logRecord.write(generator);
            recordCount++;
            generator.flush();
            if (block.size() >= BLOCK_BYTES) {
                enqueueBlock();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen: the block is in memory
        }
    }

    /** Passes the records collected so far to the writer thread, so that they reach the file soon. */
    public synchronized void flush() {
        if (!closed && block.size() > 0) {
            enqueueBlock();
        }
    }

    private void enqueueBlock() {
        byte[] records = block.toByteArray();
        block.reset();
        enqueue(records);
    }

    /** Waits for space in the queue even when interrupted, as an incomplete log proves nothing. */
    private void enqueue(byte[] records) {
        boolean interrupted = false;
        boolean queued = false;
        while (!queued) {
            try {
                queuedBlocks.put(records);
                queued = true;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeBlocks() {
        try (out) {
            byte[] next = queuedBlocks.take();
            while (next != END_OF_LOG) {
                write(next);
                next = queuedBlocks.take();
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

    /** Writes a block, or discards it after a failure, so that no caller waits for a full disk. */
    private void write(byte[] records) {
        if (failure != null) {
            return;
        }
        try {
            out.write(records, 0, records.length);
            out.flush();
        } catch (IOException e) {
            failure = e;
        }
    }

    /** Returns the number of records appended so far, including the header. */
    public synchronized long recordCount() {
        return recordCount;
    }

    /**
     * Closes the log: writes all records and a trailer, and waits for the writer thread.
     *
     * @throws IOException if any record could not be written
     */
    @Override
    public void close() throws IOException {
        synchronized (this) {
            if (closed) {
                return;
            }
            append(new LogTrailer(UnixClock.micros(), recordCount));
            closed = true;
            enqueueBlock();
            enqueue(END_OF_LOG);
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
