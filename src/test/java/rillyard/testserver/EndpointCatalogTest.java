package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class EndpointCatalogTest {
    private static EndpointCatalog.Entry entry(String id, String state) {
        HostSpec spec = TestClusterPlanReader.standard(1).hosts().get(0).named(id);
        return new EndpointCatalog.Entry(spec, "127.0.0.1:1", state, 0);
    }

    private static JsonNode json(String line) throws Exception {
        return new ObjectMapper().readTree(line);
    }

    @Test
    void tellsTheWholeListOrWhatChangedSince() throws Exception {
        EndpointCatalog catalog = new EndpointCatalog(List.of(entry("a", "up"), entry("b", "up")));
        assertThat(json(catalog.since(0, UnaryOperator.identity())).path("full").asBoolean())
                .isTrue();
        assertThat(json(catalog.since(0, UnaryOperator.identity())).path("servers"))
                .hasSize(2);
        catalog.change(entry("a", "draining"));
        catalog.change(entry("a", "removed"));
        JsonNode since = json(catalog.since(1, UnaryOperator.identity()));
        assertThat(since.path("version").asLong()).isEqualTo(3);
        assertThat(since.path("full").asBoolean()).isFalse();
        assertThat(since.path("servers")).hasSize(2);
        assertThat(json(catalog.all(UnaryOperator.identity())).path("servers")).hasSize(1);
        assertThat(json(catalog.since(3, UnaryOperator.identity())).path("servers"))
                .isEmpty();
        assertThat(json(catalog.since(99, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isTrue();
    }

    @Test
    void whoAsksForMoreThanIsKeptGetsTheWholeList() throws Exception {
        EndpointCatalog catalog = new EndpointCatalog(List.of(entry("a", "up")));
        for (int i = 0; i < 1_500; i++) {
            catalog.change(entry("a", i % 2 == 0 ? "draining" : "up"));
        }
        assertThat(json(catalog.since(2, UnaryOperator.identity())).path("full").asBoolean())
                .isTrue();
        assertThat(json(catalog.since(1_000, UnaryOperator.identity()))
                        .path("full")
                        .asBoolean())
                .isFalse();
    }
}
