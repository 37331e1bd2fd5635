package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The words that traces of earlier versions hold, and that the statistics over traces read. */
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
                        "CONNECT_FAILED"); // a local failure
    }
}
