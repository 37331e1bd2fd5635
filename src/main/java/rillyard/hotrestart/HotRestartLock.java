package rillyard.hotrestart;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The order among processes of one proxy that run beside each other. The one in charge holds a lock
 * on {@code serving}; the one that follows holds one on {@code next} once it listens, until the
 * first has ended. The kernel drops locks with their process, so none is left by one that was
 * killed. Safe for use from several threads: the loop asks at the end, the second address follows.
 */
public final class HotRestartLock implements Closeable {
    private final FileChannel serving;
    private final FileChannel next;
    private FileLock activeLock;
    private FileLock standbyLock;

    /**
     * Joins at the end of the line.
     *
     * @param folder where the processes meet, made if it isn't there
     * @throws IOException if the folder can't be used
     */
    public HotRestartLock(Path folder) throws IOException {
        Files.createDirectories(folder);
        serving = open(folder.resolve("serving"));
        next = open(folder.resolve("next"));
        activeLock = lock(serving);
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    private static FileLock lock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // held within this very process, as in tests
        }
    }

    /** Whether no other process is in charge. */
    public synchronized boolean isActive() {
        return activeLock != null;
    }

    /**
     * This process listens: the one in charge may go at any time from now on. Called again and again it
     * takes charge once that one has gone.
     *
     * @throws IOException if the files can't be locked
     */
    public synchronized void becomeStandby() throws IOException {
        if (activeLock == null) {
            activeLock = lock(serving);
        }
        if (activeLock == null && standbyLock == null) {
            standbyLock = lock(next);
        } else if (activeLock != null && standbyLock != null) {
            standbyLock.release();
            standbyLock = null;
        }
    }

    /**
     * Whether another process listens that follows this one.
     *
     * @throws IOException if the file can't be locked
     */
    public synchronized boolean hasStandby() throws IOException {
        if (standbyLock != null) {
            return false;
        }
        FileLock free = lock(next);
        if (free == null) {
            return true;
        }
        free.release();
        return false;
    }

    @Override
    public synchronized void close() throws IOException {
        serving.close();
        next.close();
    }
}
