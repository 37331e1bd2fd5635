package rillyard.loadgen;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rillyard.config.InvalidConfigException;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.RequestLogReader;

/** Reads the events of hosts during a run from their request log. */
public final class TimelineEvents {
    /** Upper bound on events, as more marks would obscure the plot. */
    private static final int MAX_EVENTS = 200;

    private TimelineEvents() {}

    /**
     * Returns the events in a request log of hosts, at most 200.
     *
     * @param startMicros start of the run in microseconds of Unix time; earlier events are left out
     * @throws InvalidConfigException if the file is not a request log of hosts
     */
    public static List<RunReport.Mark> read(Path hostsLog, long startMicros) throws InvalidConfigException {
        List<RunReport.Mark> out = new ArrayList<>();
        RequestLogReader.read(hostsLog, "hosts", line -> {
            if (line instanceof HostEvent event && event.at() >= startMicros && out.size() < MAX_EVENTS) {
                out.add(new RunReport.Mark((event.at() - startMicros) / 1e6, event.host(), description(event)));
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
