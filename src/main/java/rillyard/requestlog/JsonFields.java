package rillyard.requestlog;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;

/** Checked reading of the fields of a line. */
final class JsonFields {
    private JsonFields() {}

    static String text(JsonNode node, String key) {
        JsonNode v = node.path(key);
        if (!v.isTextual()) {
            throw new IllegalArgumentException(key + ": found " + found(v) + ", expected a text");
        }
        return v.asText();
    }

    static String textOrNull(JsonNode node, String key) {
        return node.hasNonNull(key) ? text(node, key) : null;
    }

    static long integer(JsonNode node, String key) {
        JsonNode v = node.path(key);
        if (!v.isIntegralNumber() || !v.canConvertToLong()) {
            throw new IllegalArgumentException(key + ": found " + found(v) + ", expected a whole number");
        }
        return v.asLong();
    }

    static <E extends Enum<E>> E enumValue(JsonNode node, String key, Class<E> type) {
        String s = text(node, key);
        for (E e : type.getEnumConstants()) {
            if (e.name().equals(s)) {
                return e;
            }
        }
        throw new IllegalArgumentException(
                key + ": found '" + s + "', expected one of " + Arrays.toString(type.getEnumConstants()));
    }

    private static String found(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.toString();
    }
}
