package rillyard.config;

import java.util.HashMap;
import java.util.Map;

/**
 * The line on which each key and table of a TOML text stands. The parser that gives the values
 * (jackson-dataformat-toml) keeps no places; this reads just so much of the grammar (TOML 1.0.0) as
 * tells keys from values: strings, comments, brackets and headers. It is used on texts that the
 * parser has accepted, so it need not find errors.
 *
 * <p>Paths join keys with dots, and an element of an array of tables has its index as a key:
 * {@code fault.2.host}. Keys within inline tables are found by the line of the key that holds them.
 */
final class TomlLines {
    private final String text;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> elements = new HashMap<>();
    private String table = "";
    private int at;
    private int line = 1;

    private TomlLines(String text) {
        this.text = text;
    }

    /** The line of each path, from 1. */
    static Map<String, Integer> of(String text) {
        TomlLines lines = new TomlLines(text);
        lines.scan();
        return lines.lines;
    }

    private void scan() {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '\n') {
                line++;
                at++;
            } else if (Character.isWhitespace(c)) {
                at++;
            } else if (c == '#') {
                skipComment();
            } else if (c == '[') {
                header();
            } else {
                int on = line;
                String key = path('=');
                lines.putIfAbsent(join(table, key), on);
                skipValue();
            }
        }
    }

    private void header() {
        boolean element = text.startsWith("[[", at);
        at += element ? 2 : 1;
        String name = resolve(path(']'));
        at += element ? 1 : 0;
        if (element) {
            int n = elements.merge(name, 1, Integer::sum) - 1;
            name = name + "." + n;
        }
        lines.putIfAbsent(name, line);
        table = name;
    }

    /** A header's path, with the index of the last element put behind each array of tables. */
    private String resolve(String name) {
        String path = "";
        String[] keys = name.split("\\.");
        for (int i = 0; i < keys.length; i++) {
            path = join(path, keys[i]);
            Integer n = i < keys.length - 1 ? elements.get(path) : null;
            path = n == null ? path : path + "." + (n - 1);
        }
        return path;
    }

    /** A key, dotted or not, up to the mark that ends it. */
    private String path(char end) {
        StringBuilder key = new StringBuilder();
        while (at < text.length() && text.charAt(at) != end && text.charAt(at) != '\n') {
            char c = text.charAt(at++);
            if (c == '"' || c == '\'') {
                int close = text.indexOf(c, at);
                close = close < 0 ? text.length() : close;
                key.append(text, at, close);
                at = Math.min(text.length(), close + 1);
            } else if (!Character.isWhitespace(c)) {
                key.append(c);
            }
        }
        at = Math.min(text.length(), at + 1);
        return key.toString();
    }

    private void skipValue() {
        int depth = 0;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '\n' && depth == 0) {
                return;
            }
            if (c == '"' || c == '\'') {
                skipString(c);
            } else if (c == '#') {
                skipComment();
            } else {
                depth += c == '[' || c == '{' ? 1 : c == ']' || c == '}' ? -1 : 0;
                line += c == '\n' ? 1 : 0;
                at++;
            }
        }
    }

    private void skipString(char quote) {
        String three = String.valueOf(quote).repeat(3);
        boolean block = text.startsWith(three, at);
        at += block ? 3 : 1;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '\\' && quote == '"') {
                line += at + 1 < text.length() && text.charAt(at + 1) == '\n' ? 1 : 0;
                at += 2;
            } else if (block ? text.startsWith(three, at) : c == quote) {
                at += block ? 3 : 1;
                return;
            } else {
                line += c == '\n' ? 1 : 0;
                at++;
            }
        }
    }

    private void skipComment() {
        while (at < text.length() && text.charAt(at) != '\n') {
            at++;
        }
    }

    private static String join(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }
}
