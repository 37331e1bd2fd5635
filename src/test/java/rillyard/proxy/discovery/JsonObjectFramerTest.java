package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lists that are cut in the wrong place when they arrive in pieces or indented, and against a truncated
 * list that is joined with the next one or accepted.
 */
class JsonObjectFramerTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final class RecordingListener implements JsonObjectFramer.Listener {
        final List<JsonNode> lists = new ArrayList<>();
        int blanks;

        @Override
        public void onObject(byte[] bytes, int length) {
            try {
                lists.add(JSON.readTree(bytes, 0, length));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void onBlankLine() {
            blanks++;
        }
    }

    /** Passes a text to a framer in pieces of the given length; returns why it was rejected, or empty if it was not. */
    private static Optional<String> feed(RecordingListener listener, String text, int pieceLength) {
        JsonObjectFramer framer = new JsonObjectFramer();
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < all.length; from += pieceLength) {
            try {
                framer.consume(Unpooled.wrappedBuffer(all, from, Math.min(pieceLength, all.length - from)), listener);
            } catch (MalformedEndpointListException e) {
                return Optional.of(e.getMessage());
            }
        }
        return Optional.empty();
    }

    private static ObjectNode list(int version, List<String> names) {
        ObjectNode list = JSON.createObjectNode().put("version", version).put("full", true);
        ArrayNode servers = list.putArray("servers");
        names.forEach(name -> servers.addObject().put("id", name).put("state", "up"));
        return list;
    }

    @Property(tries = 300)
    void listsInAnyFormAndAnyPiecesAreFramedUnchanged(
            @ForAll @Size(max = 4) List<@Size(max = 3) List<String>> all,
            @ForAll @IntRange(min = 1, max = 60) int pieceLength,
            @ForAll boolean indented,
            @ForAll boolean blankLines)
            throws IOException {
        StringBuilder text = new StringBuilder();
        List<JsonNode> sent = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            ObjectNode list = list(i, all.get(i));
            sent.add(JSON.readTree(JSON.writeValueAsBytes(list))); // encoding changes some characters
            text.append(indented ? JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list) : list.toString());
            text.append(blankLines ? "\r\n\r\n" : "\n");
        }
        RecordingListener listener = new RecordingListener();
        assertThat(feed(listener, text.toString(), pieceLength)).isEmpty();
        assertThat(listener.lists).isEqualTo(sent);
        assertThat(listener.blanks).isEqualTo(blankLines ? all.size() : 0);
    }

    @Test
    void truncatedListNeverSwallowsNextList() {
        String good = list(7, List.of("a \"b\" {[", "c\\")).toString();
        for (int at = 1; at < good.length(); at++) {
            for (String rest : new String[] {"\n" + good + "\n", "\n\n"}) {
                RecordingListener listener = new RecordingListener();
                Optional<String> rejection = feed(listener, good.substring(0, at) + rest + "\n\n", 9);
                // After a comma or a bracket an object may follow; there only the blank line shows the truncation.
                assertThat(rejection).as("cut at %s", at).isPresent();
                assertThat(listener.lists).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"x\n", "[]\n", "} \n", "\"\n", "{\"a\":\"b\n", "{\"a\":1}}\n", "{\"a\":1\n\n"})
    void textThatIsNoListIsRejected(String text) {
        assertThat(feed(new RecordingListener(), text, 1)).isPresent();
    }

    @Test
    void listWithoutEndIsRejectedAtItsMaximumLength() throws MalformedEndpointListException {
        JsonObjectFramer framer = new JsonObjectFramer();
        byte[] part = " ".repeat(1 << 20).getBytes(StandardCharsets.US_ASCII);
        RecordingListener listener = new RecordingListener();
        framer.consume(Unpooled.wrappedBuffer("{".getBytes(StandardCharsets.US_ASCII)), listener);
        for (int i = 0; i < 3; i++) {
            framer.consume(Unpooled.wrappedBuffer(part), listener);
        }
        assertThatThrownBy(() -> framer.consume(Unpooled.wrappedBuffer(part), listener))
                .isInstanceOf(MalformedEndpointListException.class)
                .hasMessageContaining("more than");
    }
}
