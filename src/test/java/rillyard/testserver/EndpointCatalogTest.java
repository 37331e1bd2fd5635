package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class EndpointCatalogTest {
    private static EndpointCatalog.Entry entry(String id, String state) {
        HostSpec spec = TestClusterPlanReader.standard(1).hosts().get(0).withId(id);
        return new EndpointCatalog.Entry(spec, "127.0.0.1:1", state, 0);
    }

    private static JsonNode parse(String line) throws Exception {
        return new ObjectMapper().readTree(line);
    }

    @Test
    void fullListOrChangesSinceVersionAreReturned() throws Exception {
        EndpointCatalog catalog = new EndpointCatalog(List.of(entry("a", "up"), entry("b", "up")));
        assertThat(parse(catalog.changesSince(0, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isTrue();
        assertThat(parse(catalog.changesSince(0, UnaryOperator.identity())).path("servers"))
                .hasSize(2);
        catalog.apply(entry("a", "draining"));
        catalog.apply(entry("a", "removed"));
        JsonNode changes = parse(catalog.changesSince(1, UnaryOperator.identity()));
        assertThat(changes.path("version").asLong()).isEqualTo(3);
        assertThat(changes.path("full").asBoolean()).isFalse();
        assertThat(changes.path("servers")).hasSize(2);
        assertThat(parse(catalog.fullList(UnaryOperator.identity())).path("servers"))
                .hasSize(1);
        assertThat(parse(catalog.changesSince(3, UnaryOperator.identity())).path("servers"))
                .isEmpty();
        assertThat(parse(catalog.changesSince(99, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isTrue();
    }

    @Test
    void versionOlderThanCachedChangesGetsFullList() throws Exception {
        EndpointCatalog catalog = new EndpointCatalog(List.of(entry("a", "up")));
        for (int i = 0; i < 1_500; i++) {
            catalog.apply(entry("a", i % 2 == 0 ? "draining" : "up"));
        }
        assertThat(parse(catalog.changesSince(2, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isTrue();
        assertThat(parse(catalog.changesSince(1_000, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isFalse();
    }
}
