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
 * One table of a TOML file, read key by key. A key that is absent has its default; one that is wrong
 * becomes a finding and has its default too, so that reading goes on and all findings come in one
 * pass. The one who reads the root calls {@link #finish} at the end: keys that nobody asked for are
 * findings then.
 */
public final class TomlTable {
    private record Source(
            String file, Map<String, Integer> lines, List<ConfigProblem> problems, List<TomlTable> tables) {}

    private final Source source;
    private final String path;
    private final ObjectNode node;
    private final Set<String> known = new LinkedHashSet<>();

    private TomlTable(Source source, String path, ObjectNode node) {
        this.source = source;
        this.path = path;
        this.node = node;
        source.tables.add(this);
    }

    /**
     * Reads a file.
     *
     * @throws InvalidConfigException if it can't be read or is no TOML
     */
    public static TomlTable read(Path file) throws InvalidConfigException {
        try {
            return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new InvalidConfigException(file.toString(), 0, "can't be read: " + e);
        }
    }

    /**
     * Reads a text; {@code name} stands for it in findings.
     *
     * @throws InvalidConfigException if it is no TOML
     */
    public static TomlTable parse(String name, String text) throws InvalidConfigException {
        try {
            JsonNode root = new TomlMapper().readTree(text);
            ObjectNode table = root instanceof ObjectNode o ? o : JsonNodeFactory.instance.objectNode();
            return new TomlTable(new Source(name, TomlLines.of(text), new ArrayList<>(), new ArrayList<>()), "", table);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            int line = at == null ? 0 : Math.max(0, at.getLineNr());
            throw new InvalidConfigException(name, line, "not TOML: " + e.getOriginalMessage());
        }
    }

    /** Whether the key is there. */
    public boolean has(String key) {
        known.add(key);
        return node.has(key);
    }

    /** The line of a key, or of the table where the key is absent. */
    public int line(String key) {
        String at = path.isEmpty() ? key : path + "." + key;
        while (!at.isEmpty()) {
            Integer line = source.lines.get(at);
            if (line != null) {
                return line;
            }
            int dot = at.lastIndexOf('.');
            at = dot < 0 ? "" : at.substring(0, dot);
        }
        return 0;
    }

    /** Adds a finding at a key. */
    public void error(String key, String message) {
        String where = path.isEmpty() ? key : path.replaceAll("\\.(\\d+)", "[$1]") + "." + key;
        source.problems.add(new ConfigProblem(source.file, line(key), where + ": " + message));
    }

    private JsonNode get(String key) {
        known.add(key);
        return node.get(key);
    }

    /** A text, or the default. */
    public String text(String key, String otherwise) {
        JsonNode node = get(key);
        if (node == null) {
            return otherwise;
        }
        if (!node.isTextual() || node.asText().isBlank()) {
            error(key, "found " + node + ", expected a text that is not empty");
            return otherwise;
        }
        return node.asText();
    }

    /** A text that must be there; empty where it is not, which is a finding. */
    public String text(String key) {
        if (!node.has(key)) {
            known.add(key);
            error(key, "is missing, expected a text");
            return "";
        }
        return text(key, "");
    }

    /** One of a few names, in lower case with _ or - alike; or the default. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E otherwise) {
        String s = text(key, null);
        if (s == null) {
            return otherwise;
        }
        for (E e : type.getEnumConstants()) {
            if (name(e).equals(s.replace('_', '-'))) {
                return e;
            }
        }
        List<String> names = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            names.add(name(e));
        }
        String near = DidYouMean.suggest(s, names);
        error(
                key,
                "found '" + s + "', expected one of " + String.join(", ", names)
                        + (near == null ? "" : "; did you mean '" + near + "'?"));
        return otherwise;
    }

    private static String name(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** True or false, or the default. */
    public boolean flag(String key, boolean otherwise) {
        JsonNode node = get(key);
        if (node == null) {
            return otherwise;
        }
        if (!node.isBoolean()) {
            error(key, "found " + node + ", expected true or false");
            return otherwise;
        }
        return node.asBoolean();
    }

    /** A finite number within a range, ends included, or the default. */
    public double number(String key, double otherwise, double least, double most) {
        JsonNode node = get(key);
        if (node == null) {
            return otherwise;
        }
        return inRange(key, node, least, most) ? node.asDouble() : otherwise;
    }

    /** A whole number within a range, ends included, or the default. */
    public long integer(String key, long otherwise, long least, long most) {
        JsonNode node = get(key);
        if (node == null) {
            return otherwise;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.asLong() < least || node.asLong() > most) {
            error(key, "found " + node + ", expected a whole number from " + least + " to " + most);
            return otherwise;
        }
        return node.asLong();
    }

    /** Numbers within a range, or the default. */
    public double[] numbers(String key, double[] otherwise, double least, double most) {
        JsonNode node = get(key);
        if (node == null) {
            return otherwise.clone();
        }
        if (!node.isArray() || node.isEmpty()) {
            error(key, "found " + node + ", expected a list of numbers");
            return otherwise.clone();
        }
        double[] out = new double[node.size()];
        for (int i = 0; i < out.length; i++) {
            if (!inRange(key, node.get(i), least, most)) {
                return otherwise.clone();
            }
            out[i] = node.get(i).asDouble();
        }
        return out;
    }

    private boolean inRange(String key, JsonNode node, double least, double most) {
        if (node.isNumber() && node.asDouble() >= least && node.asDouble() <= most) {
            return true;
        }
        error(key, "found " + node + ", expected a number from " + plain(least) + " to " + plain(most));
        return false;
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    /** A table within this one; an empty one where the key is absent. */
    public TomlTable table(String key) {
        JsonNode node = get(key);
        if (node != null && !node.isObject()) {
            error(key, "found " + node + ", expected a table");
        }
        String at = path.isEmpty() ? key : path + "." + key;
        return new TomlTable(source, at, node instanceof ObjectNode o ? o : JsonNodeFactory.instance.objectNode());
    }

    /** The tables of an array of tables; none where the key is absent. */
    public List<TomlTable> tables(String key) {
        JsonNode node = get(key);
        List<TomlTable> out = new ArrayList<>();
        if (node == null) {
            return out;
        }
        if (!node.isArray()) {
            error(key, "found " + node + ", expected tables, each headed [[" + key + "]]");
            return out;
        }
        for (int i = 0; i < node.size(); i++) {
            if (node.get(i) instanceof ObjectNode o) {
                out.add(new TomlTable(source, (path.isEmpty() ? key : path + "." + key) + "." + i, o));
            } else {
                error(key, "found " + node.get(i) + ", expected a table");
            }
        }
        return out;
    }

    /**
     * Ends the reading of the whole file.
     *
     * @throws InvalidConfigException if there is any finding, unknown keys included
     */
    public void finish() throws InvalidConfigException {
        for (TomlTable table : source.tables) {
            table.node.fieldNames().forEachRemaining(k -> {
                if (!table.known.contains(k)) {
                    String near = DidYouMean.suggest(k, table.known);
                    table.error(
                            k,
                            "unknown key"
                                    + (near != null
                                            ? "; did you mean '" + near + "'?"
                                            : ", expected one of "
                                                    + table.known.stream()
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
