package rillyard.config;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds the line of each key and table of a TOML text.
 *
 * <p>The parser that reads the values (jackson-dataformat-toml) does not keep positions. This class reads just enough
 * of the grammar (TOML 1.0.0) to tell keys from values: strings, comments, brackets and headers. It is used only on
 * texts that the parser has accepted, and does not detect errors.
 *
 * <p>Paths join keys with dots, and an element of an array of tables has its index as a key: {@code fault.2.host}. Keys
 * within inline tables are found by the line of the key that contains them.
 */
final class TomlLines {
    private final String text;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> elements = new HashMap<>();
    private String currentTable = "";
    private int position;
    private int line = 1;

    private TomlLines(String text) {
        this.text = text;
    }

    /** Returns the line of each path, from 1. */
    static Map<String, Integer> lineNumbers(String text) {
        TomlLines lines = new TomlLines(text);
        lines.scan();
        return lines.lines;
    }

    private void scan() {
        while (position < text.length()) {
            char character = text.charAt(position);
            if (character == '\n') {
                line++;
                position++;
            } else if (Character.isWhitespace(character)) {
                position++;
            } else if (character == '#') {
                skipComment();
            } else if (character == '[') {
                readHeader();
            } else {
                int keyLine = line;
                String key = readPath('=');
                lines.putIfAbsent(join(currentTable, key), keyLine);
                skipValue();
            }
        }
    }

    private void readHeader() {
        boolean isElement = text.startsWith("[[", position);
        position += isElement ? 2 : 1;
        String name = resolve(readPath(']'));
        position += isElement ? 1 : 0;
        if (isElement) {
            int index = elements.merge(name, 1, Integer::sum) - 1;
            name = name + "." + index;
        }
        lines.putIfAbsent(name, line);
        currentTable = name;
    }

    /** Returns the path of a header, with the index of the last element after the name of each array of tables. */
    private String resolve(String name) {
        String resolved = "";
        String[] keys = name.split("\\.");
        for (int i = 0; i < keys.length; i++) {
            resolved = join(resolved, keys[i]);
            Integer elementCount = i < keys.length - 1 ? elements.get(resolved) : null;
            resolved = elementCount == null ? resolved : resolved + "." + (elementCount - 1);
        }
        return resolved;
    }

    /** Reads a key, dotted or not, up to the character that ends it. */
    private String readPath(char end) {
        StringBuilder key = new StringBuilder();
        while (position < text.length() && text.charAt(position) != end && text.charAt(position) != '\n') {
            char character = text.charAt(position++);
            if (character == '"' || character == '\'') {
                int closingQuote = text.indexOf(character, position);
                closingQuote = closingQuote < 0 ? text.length() : closingQuote;
                key.append(text, position, closingQuote);
                position = Math.min(text.length(), closingQuote + 1);
            } else if (!Character.isWhitespace(character)) {
                key.append(character);
            }
        }
        position = Math.min(text.length(), position + 1);
        return key.toString();
    }

    private void skipValue() {
        int depth = 0;
        while (position < text.length()) {
            char character = text.charAt(position);
            if (character == '\n' && depth == 0) {
                return;
            }
            if (character == '"' || character == '\'') {
                skipString(character);
            } else if (character == '#') {
                skipComment();
            } else {
                depth += character == '[' || character == '{' ? 1 : character == ']' || character == '}' ? -1 : 0;
                line += character == '\n' ? 1 : 0;
                position++;
            }
        }
    }

    private void skipString(char quote) {
        String tripleQuote = String.valueOf(quote).repeat(3);
        boolean multiLine = text.startsWith(tripleQuote, position);
        position += multiLine ? 3 : 1;
        while (position < text.length()) {
            char character = text.charAt(position);
            if (character == '\\' && quote == '"') {
                line += position + 1 < text.length() && text.charAt(position + 1) == '\n' ? 1 : 0;
                position += 2;
            } else if (multiLine ? text.startsWith(tripleQuote, position) : character == quote) {
                position += multiLine ? 3 : 1;
                return;
            } else {
                line += character == '\n' ? 1 : 0;
                position++;
            }
        }
    }

    private void skipComment() {
        while (position < text.length() && text.charAt(position) != '\n') {
            position++;
        }
    }

    private static String join(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }
}
