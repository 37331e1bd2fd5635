package rillyard.loadgen;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rillyard.config.InvalidConfigException;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.RequestLogReader;

/** What happened to hosts during a run, from their request log. */
public final class TimelineEvents {
    /** More marks than this hide the plot. */
    private static final int MAX_EVENTS = 200;

    private TimelineEvents() {}

    /**
     * Reads the request log of hosts; {@code from} is the start of the run, microseconds of Unix time.
     *
     * @throws InvalidConfigException if it is none
     */
    public static List<RunReport.Mark> read(Path hosts, long from) throws InvalidConfigException {
        List<RunReport.Mark> out = new ArrayList<>();
        RequestLogReader.read(hosts, "hosts", line -> {
            if (line instanceof HostEvent event && event.at() >= from && out.size() < MAX_EVENTS) {
                out.add(new RunReport.Mark((event.at() - from) / 1e6, event.host(), description(event)));
            }
        });
        return out;
    }

    private static String description(HostEvent event) {
        return switch (event.kind()) {
            case FAULT -> event.detail();
            case FAULT_ENDED -> event.detail() + " ends";
            default -> event.kind().name().toLowerCase(Locale.ROOT);
        };
    }
}
