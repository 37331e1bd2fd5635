package rillyard.proxy.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a conversion to seconds, which doesn't use {@link String#format}, that rounds or pads differently. */
class ProtocolHeadersTest {
    @Test
    void secondsEqualFormattedNumberWithThreeDecimals() {
        SplittableRandom random = new SplittableRandom(7);
        for (double millis : new double[] {0, 0.4, 1, 9, 50, 99.5, 999.4, 999.6, 1_000, 1_001, 12_345, 3_600_000}) {
            assertThat(ProtocolHeaders.toSeconds(millis)).isEqualTo(formatted(millis));
        }
        for (int i = 0; i < 10_000; i++) {
            double millis = random.nextDouble() * 100_000;
            assertThat(ProtocolHeaders.toSeconds(millis)).as("%s ms", millis).isEqualTo(formatted(millis));
        }
    }

    private static String formatted(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1_000);
    }
}
