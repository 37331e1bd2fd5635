package rillyard.hotrestart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Stores the hosts that operators disabled as names of empty files in a directory that several processes share.
 *
 * <p>{@code out-NAME} is a disabled host, {@code back-NAME} one that was enabled at the file's modification time. Names
 * are in URL-safe Base64 (RFC 4648, 5), as host ids may contain any character. Files are created, renamed and removed
 * but never written, so other processes see each change completely or not at all, even if this process is killed.
 * Several processes may use a directory at once; an instance is not thread-safe.
 */
public final class DisabledHostStore {
    /**
     * The contents of the directory.
     *
     * @param disabled the names of disabled hosts
     * @param enabledAtUnixMillis when other hosts were enabled, by name, as monotonic Unix time of the reader
     */
    public record Contents(Set<String> disabled, Map<String, Long> enabledAtUnixMillis) {}

    private static final String DISABLED_PREFIX = "out-";
    private static final String ENABLED_PREFIX = "back-";

    /** Age of an enabled host's file at which it is removed, as any slow start is over by then. */
    private static final long ENABLED_RETENTION_MS = 120_000;

    /**
     * A file of an enabled host.
     *
     * @param modifiedMillis its modification time
     * @param enabledAtUnixMillis when the host was enabled, as monotonic Unix time
     */
    private record EnabledFile(long modifiedMillis, long enabledAtUnixMillis) {}

    private final Path directory;
    private Map<String, EnabledFile> enabledFiles = new HashMap<>();
    private boolean hasRead;
    private long lastReadAtMillis;

    /**
     * Opens a store.
     *
     * @param directory the directory, created if it does not exist
     * @throws IOException if it can't be created
     */
    public DisabledHostStore(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Stores that a host is disabled.
     *
     * @throws IOException if the change can't be stored
     */
    public void disable(String name) throws IOException {
        Files.deleteIfExists(file(ENABLED_PREFIX, name));
        try {
            Files.createFile(file(DISABLED_PREFIX, name));
        } catch (FileAlreadyExistsException ignored) {
            // disabled already
        }
    }

    /**
     * Stores that a host was enabled at {@code wallMillis} (wall clock, Unix ms); does nothing if it is not disabled.
     *
     * @throws IOException if the change can't be stored
     */
    public void enable(String name, long wallMillis) throws IOException {
        Path enabled = file(ENABLED_PREFIX, name);
        try {
            Path disabled = file(DISABLED_PREFIX, name);
            Files.setLastModifiedTime(disabled, FileTime.fromMillis(wallMillis));
            Files.move(disabled, enabled, StandardCopyOption.REPLACE_EXISTING);
        } catch (NoSuchFileException ignored) {
            // not disabled
        }
    }

    /**
     * Reads the directory. Foreign files are ignored, outdated ones are removed.
     *
     * <p>The age of the files that the first call finds is taken from the wall clock. A file that a later call finds
     * can't be older than the call before, and ages advance with the monotonic time, so that steps of the wall clock
     * have no effect.
     *
     * @param wallMillis the wall clock, which sets the modification times of files (Unix ms)
     * @param monotonicUnixMillis monotonic Unix time (ms), which is never stepped
     * @throws IOException if the directory can't be read
     */
    public Contents read(long wallMillis, long monotonicUnixMillis) throws IOException {
        Map<String, EnabledFile> enabledNow = new HashMap<>();
        Set<String> disabled = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path path : files) {
                String file = path.getFileName().toString();
                if (file.startsWith(DISABLED_PREFIX)) {
                    String name = decodeName(file, DISABLED_PREFIX);
                    if (name != null) {
                        disabled.add(name);
                    }
                } else if (file.startsWith(ENABLED_PREFIX)) {
                    readEnabled(path, wallMillis, monotonicUnixMillis, enabledNow);
                }
            }
        } catch (NoSuchFileException ignored) {
            Files.createDirectories(directory); // the directory was removed, and with it all that was stored
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        enabledFiles = enabledNow;
        lastReadAtMillis = monotonicUnixMillis;
        hasRead = true;
        return new Contents(disabled, enabledAtUnixMillis());
    }

    private void readEnabled(Path path, long wallMillis, long monotonicUnixMillis, Map<String, EnabledFile> enabledNow)
            throws IOException {
        try {
            long modifiedMillis = Files.getLastModifiedTime(path).toMillis();
            EnabledFile file = enabledFiles.get(path.getFileName().toString());
            if (file == null || file.modifiedMillis() != modifiedMillis) {
                long ageMillis = ageMillisOfNewFile(wallMillis - modifiedMillis, monotonicUnixMillis);
                file = new EnabledFile(modifiedMillis, monotonicUnixMillis - ageMillis);
            }
            if (monotonicUnixMillis - file.enabledAtUnixMillis() > ENABLED_RETENTION_MS) {
                Files.deleteIfExists(path);
            } else {
                enabledNow.put(path.getFileName().toString(), file);
            }
        } catch (NoSuchFileException ignored) {
            // the host was disabled again meanwhile
        }
    }

    /** Returns the age of a file that this process has not read before, given its age by the wall clock. */
    private long ageMillisOfNewFile(long wallAgeMillis, long monotonicUnixMillis) {
        long maxAgeMillis = hasRead ? Math.max(0, monotonicUnixMillis - lastReadAtMillis) : Long.MAX_VALUE;
        return Math.min(Math.max(0, wallAgeMillis), maxAgeMillis);
    }

    private Map<String, Long> enabledAtUnixMillis() {
        Map<String, Long> times = new HashMap<>();
        for (Map.Entry<String, EnabledFile> enabled : enabledFiles.entrySet()) {
            String name = decodeName(enabled.getKey(), ENABLED_PREFIX);
            if (name != null) {
                times.put(name, enabled.getValue().enabledAtUnixMillis());
            }
        }
        return times;
    }

    private Path file(String prefix, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return directory.resolve(
                prefix + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    /** Returns the host name that a file name encodes, or null if the file is foreign. */
    private static String decodeName(String file, String prefix) {
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(file.substring(prefix.length()));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException ignored) {
            return null;
        }
    }
}
