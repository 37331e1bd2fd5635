package rillyard.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the trees with those of Jackson's mapper, which the reader replaces. A difference would change how settings
 * are read.
 */
class JsonTreeReaderTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "null",
                "true",
                "1",
                "-2147483649",
                "92233720368547758070",
                "1.5e3",
                "\"\\u3042\"",
                "{\"a\":[1,{\"b\":null,\"c\":[[],{}]},\"x\"],\"d\":false,\"e\":-0.0}",
                "{\"a\":1,\"a\":{\"b\":2}}",
                " {\"a\":1} trailing"
            })
    void treeEqualsMappersTree(String text) throws Exception {
        byte[] padded = ("##" + text + "##").getBytes(StandardCharsets.UTF_8);
        assertThat(JsonTreeReader.read(padded, 2, padded.length - 4)).isEqualTo(MAPPER.readTree(text));
        assertThat(JsonTreeReader.read(text)).isEqualTo(MAPPER.readTree(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{\"a\":}", "nul", "{\"a\":1]", "[1 2]", "'a'", "NaN", "]"})
    void invalidJsonThrows(String text) {
        assertThatThrownBy(() -> JsonTreeReader.read(text.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(JsonProcessingException.class);
    }

    @Test
    void deepNestingThrowsWithoutStackOverflow() {
        assertThatThrownBy(() -> JsonTreeReader.read("[".repeat(100_000))).isInstanceOf(JsonProcessingException.class);
    }

    @Test
    void whitespaceOnlyIsNull() throws Exception {
        assertThat(JsonTreeReader.read(" \n".getBytes(StandardCharsets.UTF_8))).isNull();
    }
}
