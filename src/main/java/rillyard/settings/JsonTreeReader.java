package rillyard.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON (RFC 8259) into Jackson's tree model with Jackson's parser but without its mapper. The mapper loads about
 * 200 classes before it reads the first byte, such as calendars, locales and serializers, which would delay each start
 * of a proxy.
 */
public final class JsonTreeReader {
    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTreeReader() {}

    /**
     * Reads the first value and, like the mapper, ignores what follows.
     *
     * @return the value, null if there is only whitespace
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the text is not JSON, or is nested deeper than the
     *     parser's limit of 1,000 levels
     */
    public static JsonNode read(byte[] text, int from, int length) throws IOException {
        try (JsonParser parser = PARSERS.createParser(text, from, length)) {
            return parser.nextToken() == null ? null : value(parser);
        }
    }

    /** Reads an array of bytes as {@link #read(byte[], int, int)} does. */
    public static JsonNode read(byte[] text) throws IOException {
        return read(text, 0, text.length);
    }

    /** Reads a string as {@link #read(byte[], int, int)} reads bytes. */
    static JsonNode read(String text) throws IOException {
        try (JsonParser parser = PARSERS.createParser(text)) {
            return parser.nextToken() == null ? null : value(parser);
        }
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT ->
                switch (parser.getNumberType()) {
                    case INT -> NODES.numberNode(parser.getIntValue());
                    case LONG -> NODES.numberNode(parser.getLongValue());
                    default -> NODES.numberNode(parser.getBigIntegerValue());
                };
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            node.set(name, value(parser)); // the last of several fields with one name wins, as with the mapper
        }
        return node;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(value(parser));
        }
        return node;
    }
}
