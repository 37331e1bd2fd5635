package rillyard.loadgen;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import rillyard.config.ConfigProblem;
import rillyard.config.InvalidConfigException;

/**
 * Reads recorded requests from a file. Three formats are supported:
 *
 * <ul>
 *   <li>CSV: the first line has the column names. {@code time_ms} and {@code class} are required; {@code tenant},
 *       {@code client} and {@code route_key} are optional. Values are not quoted.
 *   <li>JSON lines: one object per line with the same names.
 *   <li>HAProxy's {@code option httplog} (configuration manual, section 8.2.3): the accept date, the client's address
 *       and the request line are used. The class is the first segment of the path; bad requests ({@code <BADREQ>}) and
 *       lines whose class is not in the plan are skipped and counted.
 * </ul>
 */
public final class TraceReader {
    /** Format of a trace file. */
    public enum Format {
        /** Comma-separated values with column names in the first line. */
        CSV,

        /** One JSON object per line. */
        JSONL,

        /** HAProxy's HTTP log. */
        HAPROXY
    }

    /** Number of problems after which reading stops. */
    private static final int MAX_PROBLEMS = 50;

    /** Upper bound on requests, which bounds the memory of a trace. */
    private static final int MAX_REQUESTS = 5_000_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    // process[pid]: client:port [date] frontend backend/server Tq/Tw/Tc/Tr/Tt status bytes ... "request"
    private static final Pattern HTTPLOG =
            Pattern.compile("(?:^|\\s)(\\S+):(\\d+) \\[(\\d{2}/[A-Z][a-z]{2}/\\d{4}:\\d{2}:\\d{2}:\\d{2}\\.\\d{3})\\] "
                    + "\\S+ \\S+/\\S+ [-+0-9/]+ -?\\d+ \\+?\\d+ .*\"(?:([A-Z]+) (\\S+) HTTP/[0-9.]+|<BADREQ>)\"");

    /** Format of the accept date in HAProxy's HTTP log. */
    private static final DateTimeFormatter DATE = DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss.SSS", Locale.ROOT);

    private final String file;
    private final Map<String, LoadClass> classes;
    private final List<RecordedTrace.RecordedRequest> entries = new ArrayList<>();
    private final List<ConfigProblem> problems = new ArrayList<>();
    private int skippedLines;
    private int line;

    private TraceReader(String file, List<LoadClass> classes) {
        this.file = file;
        this.classes = classes.stream().collect(Collectors.toMap(LoadClass::name, requestClass -> requestClass));
    }

    /**
     * Reads a trace; its entries may be in any order.
     *
     * @param speed factor by which the replay is faster than the recording
     * @throws InvalidConfigException with the lines that are invalid, or if no request remains
     */
    public static RecordedTrace read(Path file, Format format, List<LoadClass> classes, double speed)
            throws InvalidConfigException {
        TraceReader reader = new TraceReader(file.toString(), classes);
        try (BufferedReader in = Files.newBufferedReader(file)) {
            reader.read(in, format);
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), reader.line, "can't be read: " + e);
        }
        if (!reader.problems.isEmpty()) {
            throw new InvalidConfigException(reader.problems);
        }
        if (reader.entries.isEmpty()) {
            throw new InvalidConfigException(
                    file.toString(),
                    0,
                    "expected at least one request"
                            + (reader.skippedLines > 0
                                    ? "; skipped " + reader.skippedLines
                                            + " lines with bad requests or with classes that are not in the plan"
                                    : ""));
        }
        reader.entries.sort(Comparator.comparingLong(RecordedTrace.RecordedRequest::arrivalMicros));
        return new RecordedTrace(reader.entries, speed);
    }

    private void read(BufferedReader in, Format format) throws IOException {
        List<String> columns = null;
        String text;
        while ((text = in.readLine()) != null && problems.size() < MAX_PROBLEMS) {
            line++;
            if (text.isBlank()) {
                continue;
            }
            if (entries.size() >= MAX_REQUESTS) {
                addProblem("expected at most " + MAX_REQUESTS + " requests");
                return;
            }
            if (format == Format.CSV && columns == null) {
                columns = columns(text);
                if (columns == null) {
                    return;
                }
            } else if (format == Format.CSV) {
                addCsvLine(columns, text);
            } else if (format == Format.JSONL) {
                addJsonLine(text);
            } else {
                addHttplogLine(text);
            }
        }
    }

    private List<String> columns(String text) {
        List<String> names =
                Arrays.stream(text.split(",", -1)).map(String::trim).toList();
        for (String required : List.of("time_ms", "class")) {
            if (!names.contains(required)) {
                addProblem("expected column names with '" + required + "' among them, found '" + text + "'");
                return null;
            }
        }
        return names;
    }

    private void addCsvLine(List<String> columns, String text) {
        String[] values = text.split(",", -1);
        if (values.length != columns.size()) {
            addProblem("expected " + columns.size() + " values, found " + values.length);
            return;
        }
        addEntry(
                values[columns.indexOf("time_ms")].trim(),
                values[columns.indexOf("class")].trim(),
                value(columns, values, "tenant"),
                value(columns, values, "client"),
                value(columns, values, "route_key"));
    }

    private static String value(List<String> columns, String[] values, String name) {
        int i = columns.indexOf(name);
        return i < 0 || values[i].isBlank() ? null : values[i].trim();
    }

    private void addJsonLine(String text) {
        JsonNode node;
        try {
            node = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            addProblem("expected a JSON object: " + e.getOriginalMessage());
            return;
        }
        if (!node.isObject()) {
            addProblem("expected a JSON object, found " + text);
            return;
        }
        addEntry(
                node.path("time_ms").asText(),
                node.path("class").asText(),
                node.hasNonNull("tenant") ? node.get("tenant").asText() : null,
                node.hasNonNull("client") ? node.get("client").asText() : null,
                node.hasNonNull("route_key") ? node.get("route_key").asText() : null);
    }

    private void addEntry(String time, String className, String tenant, String client, String routeKey) {
        double ms;
        try {
            ms = Double.parseDouble(time);
        } catch (NumberFormatException e) {
            ms = Double.NaN;
        }
        if (!(ms >= 0 && ms < 1e15)) {
            addProblem("time_ms: found '" + time + "', expected milliseconds from 0");
            return;
        }
        LoadClass requestClass = classes.get(className);
        if (requestClass == null) {
            addProblem("class: found '" + className + "', expected one of " + String.join(", ", classes.keySet()));
            return;
        }
        entries.add(new RecordedTrace.RecordedRequest((long) (1_000 * ms), requestClass, tenant, client, routeKey));
    }

    private void addHttplogLine(String text) {
        Matcher matcher = HTTPLOG.matcher(text);
        if (!matcher.find()) {
            addProblem("expected a line of HAProxy's option httplog");
            return;
        }
        if (matcher.group(5) == null) {
            skippedLines++; // a request that the proxy could not parse cannot be replayed
            return;
        }
        long micros;
        try {
            micros = LocalDateTime.parse(matcher.group(3), DATE)
                            .toInstant(ZoneOffset.UTC)
                            .toEpochMilli()
                    * 1_000;
        } catch (DateTimeParseException e) {
            addProblem("found '" + matcher.group(3) + "', expected an accept date as 06/Feb/2009:12:14:14.655");
            return;
        }
        LoadClass requestClass = classes.get(firstSegment(matcher.group(5)));
        if (requestClass == null) {
            skippedLines++;
        } else {
            entries.add(new RecordedTrace.RecordedRequest(micros, requestClass, null, matcher.group(1), null));
        }
    }

    private static String firstSegment(String uri) {
        String path = uri.replaceFirst("^[a-z]+://[^/]*", "");
        return path.replaceFirst("^/", "").split("[/?]", 2)[0];
    }

    private void addProblem(String message) {
        problems.add(new ConfigProblem(file, line, message));
    }
}
