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
 * are in URL-safe Base64 (RFC 4648, 5), as ids of hosts may hold any character. Files are created, renamed and removed
 * but never written, so other processes see each change completely or not at all, also if this one is killed.
 * Several processes may use a directory at once; one instance is not thread-safe.
 */
public final class DisabledHostStore {
    /**
     * What the directory holds.
     *
     * @param disabled the names of disabled hosts
     * @param enabledAtUnixMillis when other hosts were enabled, by name, on the steady clock of the reader
     */
    public record Contents(Set<String> disabled, Map<String, Long> enabledAtUnixMillis) {}

    private static final String DISABLED_PREFIX = "out-";
    private static final String ENABLED_PREFIX = "back-";

    /** Age of an enabled host's file beyond which any slow start is over. */
    private static final long ENABLED_RETENTION_MS = 120_000;

    /**
     * A file of an enabled host.
     *
     * @param modifiedMillis its modification time
     * @param enabledAtMillis when the host was enabled, on the steady clock
     */
    private record EnabledFile(long modifiedMillis, long enabledAtMillis) {}

    private final Path directory;
    private Map<String, EnabledFile> enabledFiles = new HashMap<>();
    private boolean hasRead;
    private long lastReadMillis;

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
     * @throws IOException if that can't be stored
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
     * Stores that a host was enabled at {@code wallMillis} (the wall clock, Unix ms); does nothing if it is not disabled.
     *
     * @throws IOException if that can't be stored
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
     * Reads the directory. Foreign files are ignored, outdated ones removed.
     *
     * <p>The wall clock tells the age of the files that the first call finds. From then on a file can't be older than the
     * call before, and its age runs on with the steady clock, so that steps of the wall clock change nothing.
     *
     * @param wallMillis the wall clock, by which files are dated (Unix ms)
     * @param steadyMillis Unix time that is never stepped (ms)
     * @throws IOException if the directory can't be read
     */
    public Contents read(long wallMillis, long steadyMillis) throws IOException {
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
                    readEnabled(path, wallMillis, steadyMillis, enabledNow);
                }
            }
        } catch (NoSuchFileException ignored) {
            Files.createDirectories(directory); // somebody removed it: all that it held is void
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        enabledFiles = enabledNow;
        lastReadMillis = steadyMillis;
        hasRead = true;
        return new Contents(disabled, enabledTimes());
    }

    private void readEnabled(Path path, long wallMillis, long steadyMillis, Map<String, EnabledFile> enabledNow)
            throws IOException {
        try {
            long modifiedMillis = Files.getLastModifiedTime(path).toMillis();
            EnabledFile file = enabledFiles.get(path.getFileName().toString());
            if (file == null || file.modifiedMillis() != modifiedMillis) {
                long ageMillis = ageOfNewFile(wallMillis - modifiedMillis, steadyMillis);
                file = new EnabledFile(modifiedMillis, steadyMillis - ageMillis);
            }
            if (steadyMillis - file.enabledAtMillis() > ENABLED_RETENTION_MS) {
                Files.deleteIfExists(path);
            } else {
                enabledNow.put(path.getFileName().toString(), file);
            }
        } catch (NoSuchFileException ignored) {
            // disabled again at this moment
        }
    }

    /** Returns the age of a file that this process has not seen yet, given its age by the wall clock. */
    private long ageOfNewFile(long wallAgeMillis, long steadyMillis) {
        long mostMillis = hasRead ? Math.max(0, steadyMillis - lastReadMillis) : Long.MAX_VALUE;
        return Math.min(Math.max(0, wallAgeMillis), mostMillis);
    }

    private Map<String, Long> enabledTimes() {
        Map<String, Long> times = new HashMap<>();
        for (Map.Entry<String, EnabledFile> enabled : enabledFiles.entrySet()) {
            String name = decodeName(enabled.getKey(), ENABLED_PREFIX);
            if (name != null) {
                times.put(name, enabled.getValue().enabledAtMillis());
            }
        }
        return times;
    }

    private Path file(String prefix, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return directory.resolve(
                prefix + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    /** Returns the host's name of a file, or null if the file is foreign. */
    private static String decodeName(String file, String prefix) {
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(file.substring(prefix.length()));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException ignored) {
            return null;
        }
    }
}
