package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;
import rillyard.config.ConfigProblem;
import rillyard.config.InvalidConfigException;

class TestClusterPlanReaderTest {
    @Test
    void hostSettingsOverrideCommonSettings() throws Exception {
        TestClusterPlan plan = TestClusterPlanReader.parse(
                "t",
                """
            [hosts]
            cores = 8
            [[host]]
            id = "a"
            [[host]]
            id = "b"
            cores = 2
            cell = 7
            [[class]]
            name = "read"
            semantics = "idempotent"
            work = { dist = "exponential", mean_ms = 5 }
            [[fault]]
            kind = "slow"
            at_s = 2
            host = "b"
            size = 3
            [[fault]]
            kind = "discovery-silent"
            at_s = 1
            """,
                0);
        assertThat(plan.hosts()).extracting(HostSpec::cores).containsExactly(8, 2);
        assertThat(plan.hosts()).extracting(HostSpec::cell).containsExactly(0L, 7L);
        assertThat(plan.classes().get(0).serviceTime()).isEqualTo(new ServiceTime.Exponential(5));
        assertThat(plan.faults())
                .extracting(HostFault::kind)
                .containsExactly(HostFault.Kind.DISCOVERY_SILENT, HostFault.Kind.SLOW);
    }

    @Test
    void eachErrorNamesItsLine() {
        InvalidConfigException exception = catchThrowableOfType(
                InvalidConfigException.class,
                () -> TestClusterPlanReader.parse(
                        "t.toml",
                        """
                [hosts]
                coers = 8
                [[class]]
                name = "a b"
                work = { dist = "table" }
                [[fault]]
                kind = "pause"
                host = "s-99"
                """,
                        4));
        assertThat(exception.problems()).extracting(ConfigProblem::line).containsExactly(2, 4, 5, 6, 8);
        assertThat(exception.getMessage())
                .contains("t.toml:2: hosts.coers: unknown key; did you mean 'cores'?")
                .contains("t.toml:8: fault[0].host: there is no host 's-99'");
    }

    @Test
    void standardPlanHasCellsOfFourHosts() {
        assertThat(TestClusterPlanReader.standard(6).hosts())
                .extracting(HostSpec::cell)
                .containsExactly(0L, 0L, 0L, 0L, 1L, 1L);
    }
}
