package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

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
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Lists in any form and cut anywhere are the same lists; what is none is told at once. */
class JsonObjectFramerTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final class Heard implements JsonObjectFramer.Listener {
        final List<JsonNode> lists = new ArrayList<>();
        int blanks;

        @Override
        public void list(byte[] bytes, int length) {
            try {
                lists.add(JSON.readTree(bytes, 0, length));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void blank() {
            blanks++;
        }
    }

    private static String feed(Heard heard, String text, int cut) {
        JsonObjectFramer frames = new JsonObjectFramer();
        byte[] all = text.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < all.length; from += cut) {
            String wrong = frames.take(Unpooled.wrappedBuffer(all, from, Math.min(cut, all.length - from)), heard);
            if (wrong != null) {
                return wrong;
            }
        }
        return null;
    }

    private static ObjectNode list(int version, List<String> names) {
        ObjectNode o = JSON.createObjectNode().put("version", version).put("full", true);
        ArrayNode servers = o.putArray("servers");
        names.forEach(n -> servers.addObject().put("id", n).put("state", "up"));
        return o;
    }

    @Property(tries = 300)
    void anyTextInAnyFormCutAnywhereIsTheSameLists(
            @ForAll @Size(max = 4) List<@Size(max = 3) List<String>> all,
            @ForAll @IntRange(min = 1, max = 60) int cut,
            @ForAll boolean indented,
            @ForAll boolean ended)
            throws IOException {
        StringBuilder text = new StringBuilder();
        List<JsonNode> sent = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            ObjectNode o = list(i, all.get(i));
            sent.add(JSON.readTree(JSON.writeValueAsBytes(o))); // as it is read, odd characters and all
            text.append(indented ? JSON.writerWithDefaultPrettyPrinter().writeValueAsString(o) : o.toString());
            text.append(ended ? "\r\n\r\n" : "\n");
        }
        Heard heard = new Heard();
        assertThat(feed(heard, text.toString(), cut)).isNull();
        assertThat(heard.lists).isEqualTo(sent);
        assertThat(heard.blanks).isEqualTo(ended ? all.size() : 0);
    }

    @Test
    void aListThatWasCutOffNeverSwallowsTheNext() {
        String good = list(7, List.of("a \"b\" {[", "c\\")).toString();
        for (int at = 1; at < good.length(); at++) {
            for (String behind : new String[] {"\n" + good + "\n", "\n\n"}) {
                Heard heard = new Heard();
                String wrong = feed(heard, good.substring(0, at) + behind + "\n\n", 9);
                // Behind a comma or a bracket an object has a place: there the blank line tells.
                assertThat(wrong).as("cut at %s", at).isNotNull();
                assertThat(heard.lists).isEmpty();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"x\n", "[]\n", "} \n", "\"\n", "{\"a\":\"b\n", "{\"a\":1}}\n", "{\"a\":1\n\n"})
    void whatIsNoListIsTold(String text) {
        assertThat(feed(new Heard(), text, 1)).isNotNull();
    }

    @Test
    void aListWithoutEndIsBounded() {
        JsonObjectFramer frames = new JsonObjectFramer();
        byte[] part = " ".repeat(1 << 20).getBytes(StandardCharsets.US_ASCII);
        Heard heard = new Heard();
        assertThat(frames.take(Unpooled.wrappedBuffer("{".getBytes(StandardCharsets.US_ASCII)), heard))
                .isNull();
        String wrong = null;
        int parts = 0;
        while (wrong == null && parts++ < 10) {
            wrong = frames.take(Unpooled.wrappedBuffer(part), heard);
        }
        assertThat(wrong).contains("more than");
        assertThat(parts).isEqualTo(4);
    }
}
