package rillyard.requestlog;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;

/**
 * Reads the fields of a record and checks their types. All methods throw an {@link IllegalArgumentException} whose
 * message says what was expected.
 */
final class JsonFields {
    private JsonFields() {}

    static String text(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(key + ": found " + found(value) + ", expected a text");
        }
        return value.asText();
    }

    static String textOrNull(JsonNode node, String key) {
        return node.hasNonNull(key) ? text(node, key) : null;
    }

    static long integer(JsonNode node, String key) {
        JsonNode value = node.path(key);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException(key + ": found " + found(value) + ", expected a whole number");
        }
        return value.asLong();
    }

    static <E extends Enum<E>> E enumValue(JsonNode node, String key, Class<E> type) {
        String name = text(node, key);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw new IllegalArgumentException(
                key + ": found '" + name + "', expected one of " + Arrays.toString(type.getEnumConstants()));
    }

    private static String found(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.toString();
    }
}
