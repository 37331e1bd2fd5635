package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RateProfileTest {
    static Stream<RateProfile> all() {
        return Stream.of(
                new RateProfile.Steady(10, 200, false),
                new RateProfile.Ramp(10, 0, 300, true),
                new RateProfile.Ramp(10, 300, 20, true),
                new RateProfile.Surge(20, 100, 900, 3, 2, 5, 4, true),
                new RateProfile.Surge(20, 100, 900, 0, 0, 5, 0, true),
                new RateProfile.Wave(30, 100, 1, 7, true),
                new RateProfile.Step(9, new double[] {10, 0, 500}, true));
    }

    @ParameterizedTest
    @MethodSource("all")
    void expectedArrivalsAreIntegralOfRate(RateProfile profile) {
        double sum = 0;
        int steps = 200_000;
        double stepSeconds = profile.seconds() / steps;
        for (int i = 0; i < steps; i++) {
            sum += profile.rate((i + 0.5) * stepSeconds) * stepSeconds;
            if (i % 10_000 == 0) {
                assertThat(profile.expectedArrivals((i + 1) * stepSeconds)).isCloseTo(sum, within(0.02 + 1e-4 * sum));
            }
        }
        assertThat(profile.expectedArrivals(profile.seconds())).isCloseTo(sum, within(1e-3 * sum));
    }

    @ParameterizedTest
    @MethodSource("all")
    void arrivalTimeIsWhereExpectedArrivalsReachCount(RateProfile profile) {
        double from = 0;
        double total = profile.expectedArrivals(profile.seconds());
        for (double count = 0.5; count < total; count += 1.7) {
            double time = profile.timeOf(count, from);
            assertThat(profile.expectedArrivals(time)).isCloseTo(count, within(1e-3));
            assertThat(time).isGreaterThanOrEqualTo(from);
            from = time;
        }
        assertThat(profile.timeOf(total + 1, from)).isNaN();
    }
}
