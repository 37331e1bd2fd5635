package rillyard.hotrestart;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The ids of the latest requests, by which a second request with the id of another one is recognized: it could be
 * executed twice, or be served the other's response.
 *
 * <p>The processes of one proxy share the table in a file, so that each recognizes the ids of the others. It holds 64-bit
 * hashes in sets of {@link #WAYS}, newest first; about the latest 50,000 ids are found. One thread of each process may use
 * it. Two requests with the same id that reach two processes within the same microsecond may both count as new.
 */
public final class RequestIdTable {
    private static final String FILE = "request-ids";
    private static final int SET_BITS = 13;
    private static final int SETS = 1 << SET_BITS;
    private static final int WAYS = 8;
    private static final int SET_BYTES = WAYS * Long.BYTES;
    private static final int TABLE_BYTES = SETS * SET_BYTES;

    /** Value of an unused entry. */
    private static final long UNUSED = 0;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;

    private final ByteBuffer table;

    private RequestIdTable(ByteBuffer table) {
        this.table = table.order(ByteOrder.nativeOrder());
    }

    /** Creates an empty table of this process alone. */
    public static RequestIdTable ofProcess() {
        return new RequestIdTable(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /**
     * Opens the table that the processes of a directory share.
     *
     * @param directory the shared directory, created if it does not exist
     * @throws IOException if the directory can't be used
     */
    public static RequestIdTable shared(Path directory) throws IOException {
        Files.createDirectories(directory);
        try (FileChannel file = FileChannel.open(
                directory.resolve(FILE),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            return new RequestIdTable(file.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES));
        }
    }

    /** Returns whether the id was added, and not displaced by many others since. */
    public boolean contains(String id) {
        long hash = hashOf(id);
        int set = offsetOf(hash);
        for (int entry = 0; entry < SET_BYTES; entry += Long.BYTES) {
            if (table.getLong(set + entry) == hash) {
                return true;
            }
        }
        return false;
    }

    /** Adds the id of a request that is begun. */
    public void add(String id) {
        long hash = hashOf(id);
        int set = offsetOf(hash);
        for (int entry = SET_BYTES - Long.BYTES; entry > 0; entry -= Long.BYTES) {
            table.putLong(set + entry, table.getLong(set + entry - Long.BYTES));
        }
        table.putLong(set, hash);
    }

    private static int offsetOf(long hash) {
        return (int) (hash >>> (Long.SIZE - SET_BITS)) * SET_BYTES;
    }

    private static long hashOf(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 32)) * MIX_MULTIPLIER;
        hash ^= hash >>> 32;
        return hash == UNUSED ? 1 : hash;
    }
}
