package rillyard.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ShapeTest {
    static Stream<Shape> all() {
        return Stream.of(
                new Shape.Steady(10, 200, false),
                new Shape.Ramp(10, 0, 300, true),
                new Shape.Ramp(10, 300, 20, true),
                new Shape.Surge(20, 100, 900, 3, 2, 5, 4, true),
                new Shape.Surge(20, 100, 900, 0, 0, 5, 0, true),
                new Shape.Wave(30, 100, 1, 7, true),
                new Shape.Step(9, new double[] {10, 0, 500}, true));
    }

    @ParameterizedTest
    @MethodSource("all")
    void theCumulativeRateIsTheIntegralOfTheRate(Shape s) {
        double sum = 0;
        int steps = 200_000;
        double dt = s.seconds() / steps;
        for (int i = 0; i < steps; i++) {
            sum += s.rate((i + 0.5) * dt) * dt;
            if (i % 10_000 == 0) {
                assertThat(s.expected((i + 1) * dt)).isCloseTo(sum, within(0.02 + 1e-4 * sum));
            }
        }
        assertThat(s.expected(s.seconds())).isCloseTo(sum, within(1e-3 * sum));
    }

    @ParameterizedTest
    @MethodSource("all")
    void theTimeOfAnArrivalIsWhereTheCumulativeRateReachesIt(Shape s) {
        double from = 0;
        double total = s.expected(s.seconds());
        for (double n = 0.5; n < total; n += 1.7) {
            double at = s.when(n, from);
            assertThat(s.expected(at)).isCloseTo(n, within(1e-3));
            assertThat(at).isGreaterThanOrEqualTo(from);
            from = at;
        }
        assertThat(s.when(total + 1, from)).isNaN();
    }
}
