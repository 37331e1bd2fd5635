package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Guards against a changed name of an outcome in trace lines: traces of earlier versions contain these words, and the
 * statistics over traces read them.
 */
class AttemptOutcomeTraceTest {
    @Test
    void traceWordsStayTheSame() {
        assertThat(Arrays.stream(AttemptOutcome.values()).map(AttemptOutcome::traceWord))
                .containsExactly(
                        "OK",
                        "ERROR",
                        "FULL",
                        "TIMEOUT",
                        "CONNECT_FAILED",
                        "RESET",
                        "CANCELLED",
                        "MOOT",
                        "CONNECT_FAILED"); // LOCAL_FAILURE
    }
}
