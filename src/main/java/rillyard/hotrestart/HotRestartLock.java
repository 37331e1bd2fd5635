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
 * Determines the roles of the processes of one proxy that run side by side during a hot restart.
 *
 * <p>The active process holds a lock on the file {@code serving}; the standby holds one on {@code next} from when it
 * listens until the active one has ended. The kernel releases the locks of a process that was killed.
 *
 * <p>Thread-safe, as it is called on the thread that launches the proxy, on the admin server's thread and, at the start
 * of a drain, on the event loop.
 */
public final class HotRestartLock implements Closeable {
    private final FileChannel activeFile;
    private final FileChannel standbyFile;
    private FileLock activeLock;
    private FileLock standbyLock;

    /**
     * Joins the processes of a directory; becomes the active one if there is none.
     *
     * @param directory the shared directory, created if it does not exist
     * @throws IOException if the directory can't be used
     */
    public HotRestartLock(Path directory) throws IOException {
        Files.createDirectories(directory);
        activeFile = open(directory.resolve("serving"));
        standbyFile = open(directory.resolve("next"));
        activeLock = lock(activeFile);
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Returns the lock of a file, or null if it is held elsewhere. */
    private static FileLock lock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException ignored) {
            return null; // held by this process itself, as in tests
        }
    }

    /** Returns whether this process is the active one. */
    public synchronized boolean isActive() {
        return activeLock != null;
    }

    /**
     * Records that this process listens, so that the active one can shut down; to be called periodically.
     *
     * <p>Once the active process has ended, a call makes this one active.
     *
     * @throws IOException if the files can't be locked
     */
    public synchronized void becomeStandby() throws IOException {
        if (activeLock == null) {
            activeLock = lock(activeFile);
        }
        if (activeLock == null && standbyLock == null) {
            standbyLock = lock(standbyFile);
        } else if (activeLock != null && standbyLock != null) {
            standbyLock.release();
            standbyLock = null;
        }
    }

    /**
     * Returns whether a standby listens, which takes over when this process ends.
     *
     * @throws IOException if the file can't be locked
     */
    public synchronized boolean hasStandby() throws IOException {
        if (standbyLock != null) {
            return false;
        }
        FileLock probe = lock(standbyFile);
        if (probe == null) {
            return true;
        }
        probe.release();
        return false;
    }

    @Override
    public synchronized void close() throws IOException {
        activeFile.close();
        standbyFile.close();
    }
}
