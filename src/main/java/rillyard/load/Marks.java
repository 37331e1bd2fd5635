package rillyard.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rillyard.input.InvalidFileException;
import rillyard.ledger.HostNews;
import rillyard.ledger.LedgerReader;

/** What happened to hosts during a run, from their ledger. */
public final class Marks {
    /** More marks than this hide the plot. */
    private static final int MOST = 200;

    private Marks() {}

    /**
     * Reads the ledger of hosts; {@code from} is the start of the run, microseconds of Unix time.
     *
     * @throws InvalidFileException if it is none
     */
    public static List<Report.Mark> read(Path hosts, long from) throws InvalidFileException {
        List<Report.Mark> out = new ArrayList<>();
        LedgerReader.read(hosts, "hosts", line -> {
            if (line instanceof HostNews n && n.at() >= from && out.size() < MOST) {
                out.add(new Report.Mark((n.at() - from) / 1e6, n.host(), words(n)));
            }
        });
        return out;
    }

    private static String words(HostNews n) {
        return switch (n.what()) {
            case FAULT -> n.detail();
            case FAULT_ENDED -> n.detail() + " ends";
            default -> n.what().name().toLowerCase(Locale.ROOT);
        };
    }
}
