package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import rillyard.config.ConfigProblem;
import rillyard.config.InvalidConfigException;

class LoadPlanReaderTest {
    private static LoadPlan parse(String text) throws InvalidConfigException {
        return LoadPlanReader.parse("p.toml", text, Path.of("."));
    }

    private static InvalidConfigException fails(String text) {
        return catchThrowableOfType(InvalidConfigException.class, () -> parse(text));
    }

    @Test
    void everyProfileKindIsRead() throws Exception {
        LoadPlan plan = parse(
                """
            [[shape]]
            kind = "steady"
            rate = 5
            [[shape]]
            kind = "poisson"
            rate = 5
            [[shape]]
            kind = "ramp"
            from = 1
            to = 2
            [[shape]]
            kind = "surge"
            for_s = 8
            base = 1
            peak = 2
            [[shape]]
            kind = "wave"
            rate = 5
            [[shape]]
            kind = "step"
            rates = [1, 2]
            random = false
            """);
        assertThat(plan.profiles())
                .containsExactly(
                        new RateProfile.Steady(10, 5, false),
                        new RateProfile.Steady(10, 5, true),
                        new RateProfile.Ramp(10, 1, 2, true),
                        new RateProfile.Surge(8, 1, 2, 2, 1, 2, 1, true),
                        new RateProfile.Wave(10, 5, 0.3, 60, true),
                        new RateProfile.Step(10, new double[] {1, 2}, false));
        assertThat(plan.seconds()).isEqualTo(58);
        assertThat(plan.classes()).hasSize(3);
    }

    @Test
    void allErrorsAreReportedWithTheirLines() {
        InvalidConfigException exception = fails(
                """
            max_opne = 5
            [clients]
            try_share = [0.9, 0.5]
            [[class]]
            name = "a"
            aim_ms = 500
            deadline_ms = 400
            [[class]]
            name = "a"
            semantics = "idempotent"
            body_bytes = 5
            [[shape]]
            kind = "surge"
            for_s = 2
            base = 5
            at_s = 5
            """);
        assertThat(exception.problems()).extracting(ConfigProblem::line).containsExactly(1, 3, 7, 9, 11, 12, 14);
        assertThat(exception.getMessage())
                .contains("p.toml:1: max_opne: unknown key; did you mean 'max_open'?")
                .contains("p.toml:12: shape[0].peak: is missing, expected a rate in requests per second");
    }

    @Test
    void planNeedsEitherShapeOrTrace() {
        assertThat(fails("seed = 1\n").getMessage()).contains("expected at least one [[shape]], or a [trace]");
        assertThat(fails("[trace]\nfile = 'x'\n[[shape]]\nrate = 1\n").getMessage())
                .contains("expected only one of the two");
        assertThat(fails("[trace]\nfile = 'no-such-file'\n").getMessage()).contains("can't be read");
    }
}
