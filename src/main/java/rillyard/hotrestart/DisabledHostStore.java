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
 * The hosts that are out by hand, as names of empty files: {@code out-NAME}, and {@code back-NAME}
 * with the time at which the host was given back. Names are in URL-safe Base64 (RFC 4648, 5), since
 * ids of hosts may hold anything. A file is made, renamed or removed and never written, so what one
 * process does is seen whole or not at all by another, and a kill at any moment harms nothing.
 */
public final class DisabledHostStore {
    /** What the folder says: hosts out, and Unix time (ms) at which others were given back. */
    public record Contents(Set<String> disabled, Map<String, Long> enabledAtUnixMillis) {}

    private static final String OUT = "out-";
    private static final String BACK = "back-";

    /** A host that was given back so long ago (ms) is warm by any deployment's figures. */
    private static final long FORGET_MS = 120_000;

    private final Path folder;

    /**
     * Opens a folder.
     *
     * @param folder the folder, made if it isn't there
     * @throws IOException if it can't be made
     */
    public DisabledHostStore(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /**
     * Notes that a host is out.
     *
     * @throws IOException if that can't be kept
     */
    public void disable(String name) throws IOException {
        Files.deleteIfExists(file(BACK, name));
        try {
            Files.createFile(file(OUT, name));
        } catch (FileAlreadyExistsException e) {
            // out already
        }
    }

    /**
     * Notes that a host may serve again from {@code now} (Unix ms) on.
     *
     * @throws IOException if that can't be kept
     */
    public void enable(String name, long now) throws IOException {
        Path back = file(BACK, name);
        try {
            Path out = file(OUT, name);
            Files.setLastModifiedTime(out, FileTime.fromMillis(now));
            Files.move(out, back, StandardCopyOption.REPLACE_EXISTING);
        } catch (NoSuchFileException e) {
            // was not out
        }
    }

    /**
     * Reads all of it; what has no place here is left alone, what is old is removed.
     *
     * @param now Unix time (ms)
     * @throws IOException if the folder can't be read
     */
    public Contents read(long now) throws IOException {
        Set<String> out = new HashSet<>();
        Map<String, Long> back = new HashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path path : files) {
                String file = path.getFileName().toString();
                if (file.startsWith(OUT)) {
                    String name = name(file, OUT);
                    if (name != null) {
                        out.add(name);
                    }
                } else if (file.startsWith(BACK)) {
                    readBack(path, name(file, BACK), now, back);
                }
            }
        } catch (NoSuchFileException e) {
            Files.createDirectories(folder); // cleared away by somebody: all that it said is void
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return new Contents(out, back);
    }

    private static void readBack(Path file, String name, long now, Map<String, Long> back) throws IOException {
        try {
            long at = Files.getLastModifiedTime(file).toMillis();
            if (now - at > FORGET_MS) {
                Files.deleteIfExists(file);
            } else if (name != null) {
                back.put(name, Math.min(at, now));
            }
        } catch (NoSuchFileException e) {
            // taken out again in this moment
        }
    }

    private Path file(String kind, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return folder.resolve(kind + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    private static String name(String file, String kind) {
        try {
            byte[] bytes = Base64.getUrlDecoder().decode(file.substring(kind.length()));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null; // not one of ours
        }
    }
}
