package rillyard.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reads a table of a TOML file key by key. An absent key has its default value. An invalid value is recorded as a
 * problem and replaced by the default, so that all problems are found in one pass. The reader of the root table calls
 * {@link #finish} at the end, which reports all problems and the keys that were never read. Not thread-safe.
 */
public final class TomlTable {
    /** The file that a table belongs to, with the problems found so far and all tables that were read. */
    private record Source(
            String file, Map<String, Integer> lines, List<ConfigProblem> problems, List<TomlTable> tables) {}

    private final Source source;
    private final String path;
    private final ObjectNode node;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    private TomlTable(Source source, String path, ObjectNode node) {
        this.source = source;
        this.path = path;
        this.node = node;
        source.tables.add(this);
    }

    /**
     * Reads a file.
     *
     * @throws InvalidConfigException if it can't be read or is not TOML
     */
    public static TomlTable read(Path file) throws InvalidConfigException {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), 0, "can't be read: " + e);
        }
    }

    /**
     * Parses a text.
     *
     * @param name name of the text in problems
     * @throws InvalidConfigException if it is not TOML
     */
    public static TomlTable parse(String name, String text) throws InvalidConfigException {
        try {
            JsonNode root = new TomlMapper().readTree(text);
            ObjectNode table =
                    root instanceof ObjectNode objectNode ? objectNode : JsonNodeFactory.instance.objectNode();
            return new TomlTable(
                    new Source(name, TomlLines.lineNumbers(text), new ArrayList<>(), new ArrayList<>()), "", table);
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 0 : Math.max(0, location.getLineNr());
            throw new InvalidConfigException(name, line, "not TOML: " + e.getOriginalMessage());
        }
    }

    /** Returns whether the key is present, and marks it as known. */
    public boolean has(String key) {
        knownKeys.add(key);
        return node.has(key);
    }

    /**
     * Returns the line of a key, or of the nearest enclosing table with a line if the key is absent; 0 if there is
     * none.
     */
    public int line(String key) {
        String keyPath = path.isEmpty() ? key : path + "." + key;
        while (!keyPath.isEmpty()) {
            Integer line = source.lines.get(keyPath);
            if (line != null) {
                return line;
            }
            int dot = keyPath.lastIndexOf('.');
            keyPath = dot < 0 ? "" : keyPath.substring(0, dot);
        }
        return 0;
    }

    /** Adds a problem at a key. */
    public void error(String key, String message) {
        String location = path.isEmpty() ? key : path.replaceAll("\\.(\\d+)", "[$1]") + "." + key;
        source.problems.add(new ConfigProblem(source.file, line(key), location + ": " + message));
    }

    private JsonNode get(String key) {
        knownKeys.add(key);
        return node.get(key);
    }

    /** Returns a text that is not blank, or the default. */
    public String text(String key, String defaultValue) {
        JsonNode node = get(key);
        if (node == null) {
            return defaultValue;
        }
        if (!node.isTextual() || node.asText().isBlank()) {
            error(key, "found " + node + ", expected a text that is not empty");
            return defaultValue;
        }
        return node.asText();
    }

    /** Returns a required text; if it is absent, adds a problem and returns an empty text. */
    public String text(String key) {
        if (!node.has(key)) {
            knownKeys.add(key);
            error(key, "is missing, expected a text");
            return "";
        }
        return text(key, "");
    }

    /**
     * Returns the constant whose name in lower case is the text, with {@code _} and {@code -} treated alike, or the
     * default.
     */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        String text = text(key, null);
        if (text == null) {
            return defaultValue;
        }
        for (E constant : type.getEnumConstants()) {
            if (optionName(constant).equals(text.replace('_', '-'))) {
                return constant;
            }
        }
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            names.add(optionName(constant));
        }
        String suggestion = DidYouMean.suggest(text, names);
        error(
                key,
                "found '" + text + "', expected one of " + String.join(", ", names)
                        + (suggestion == null ? "" : "; did you mean '" + suggestion + "'?"));
        return defaultValue;
    }

    private static String optionName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a boolean, or the default. */
    public boolean flag(String key, boolean defaultValue) {
        JsonNode node = get(key);
        if (node == null) {
            return defaultValue;
        }
        if (!node.isBoolean()) {
            error(key, "found " + node + ", expected true or false");
            return defaultValue;
        }
        return node.asBoolean();
    }

    /** Returns a number within a range, both ends included, or the default. */
    public double number(String key, double defaultValue, double min, double max) {
        JsonNode node = get(key);
        if (node == null) {
            return defaultValue;
        }
        return inRange(key, node, min, max) ? node.asDouble() : defaultValue;
    }

    /** Returns an integer within a range, both ends included, or the default. */
    public long integer(String key, long defaultValue, long min, long max) {
        JsonNode node = get(key);
        if (node == null) {
            return defaultValue;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < min || node.asLong() > max) {
            error(key, "found " + node + ", expected a whole number from " + min + " to " + max);
            return defaultValue;
        }
        return node.asLong();
    }

    /** Returns a list of numbers within a range, both ends included, or a copy of the default. */
    public double[] numbers(String key, double[] defaultValue, double min, double max) {
        JsonNode node = get(key);
        if (node == null) {
            return defaultValue.clone();
        }
        if (!node.isArray() || node.isEmpty()) {
            error(key, "found " + node + ", expected a list of numbers");
            return defaultValue.clone();
        }
        double[] numbers = new double[node.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!inRange(key, node.get(i), min, max)) {
                return defaultValue.clone();
            }
            numbers[i] = node.get(i).asDouble();
        }
        return numbers;
    }

    private boolean inRange(String key, JsonNode node, double min, double max) {
        if (node.isNumber() && node.asDouble() >= min && node.asDouble() <= max) {
            return true;
        }
        error(key, "found " + node + ", expected a number from " + format(min) + " to " + format(max));
        return false;
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /** Returns a nested table; an empty one if the key is absent or not a table. */
    public TomlTable table(String key) {
        JsonNode node = get(key);
        if (node != null && !node.isObject()) {
            error(key, "found " + node + ", expected a table");
        }
        String tablePath = path.isEmpty() ? key : path + "." + key;
        return new TomlTable(
                source,
                tablePath,
                node instanceof ObjectNode objectNode ? objectNode : JsonNodeFactory.instance.objectNode());
    }

    /** Returns the tables of an array of tables; none if the key is absent. */
    public List<TomlTable> tables(String key) {
        JsonNode node = get(key);
        List<TomlTable> tables = new ArrayList<>();
        if (node == null) {
            return tables;
        }
        if (!node.isArray()) {
            error(key, "found " + node + ", expected an array of tables, each with the header [[" + key + "]]");
            return tables;
        }
        for (int i = 0; i < node.size(); i++) {
            if (node.get(i) instanceof ObjectNode objectNode) {
                tables.add(new TomlTable(source, (path.isEmpty() ? key : path + "." + key) + "." + i, objectNode));
            } else {
                error(key, "found " + node.get(i) + ", expected a table");
            }
        }
        return tables;
    }

    /**
     * Ends the reading of the file and reports all problems.
     *
     * @throws InvalidConfigException if there is any problem; unknown keys are problems too
     */
    public void finish() throws InvalidConfigException {
        for (TomlTable table : source.tables) {
            table.node.fieldNames().forEachRemaining(key -> {
                if (!table.knownKeys.contains(key)) {
                    String suggestion = DidYouMean.suggest(key, table.knownKeys);
                    table.error(
                            key,
                            "unknown key"
                                    + (suggestion != null
                                            ? "; did you mean '" + suggestion + "'?"
                                            : ", expected one of "
                                                    + table.knownKeys.stream()
                                                            .sorted()
                                                            .collect(Collectors.joining(", "))));
                }
            });
        }
        if (!source.problems.isEmpty()) {
            throw new InvalidConfigException(source.problems.stream()
                    .sorted(Comparator.comparingInt(ConfigProblem::line))
                    .toList());
        }
    }
}
