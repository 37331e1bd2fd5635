package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ServiceTimeTest {
    static Stream<ServiceTime> all() {
        return Stream.of(
                new ServiceTime.Constant(7),
                new ServiceTime.Exponential(7),
                new ServiceTime.Lognormal(7, 0.8),
                new ServiceTime.Empirical(new double[] {20, 1, 3, 4}));
    }

    @ParameterizedTest
    @MethodSource("all")
    void samplesHaveStatedMean(ServiceTime time) {
        SplittableRandom random = new SplittableRandom(3);
        double meanMillis = Stream.generate(() -> time.sampleMillis(random))
                .limit(200_000)
                .mapToDouble(value -> value)
                .average()
                .orElseThrow();
        assertThat(meanMillis).isCloseTo(time.meanMillis(), within(0.02 * time.meanMillis()));
    }

    @ParameterizedTest
    @MethodSource("all")
    void samplesHaveMedianOfDistribution(ServiceTime time) {
        SplittableRandom random = new SplittableRandom(4);
        double[] drawn = Stream.generate(() -> time.sampleMillis(random))
                .limit(100_001)
                .mapToDouble(value -> value)
                .toArray();
        Arrays.sort(drawn);
        double expected = time instanceof ServiceTime.Exponential exponential
                ? exponential.meanMillis() * Math.log(2)
                : time instanceof ServiceTime.Lognormal lognormal
                        ? lognormal.meanMillis() / Math.sqrt(1 + lognormal.cv() * lognormal.cv())
                        : time instanceof ServiceTime.Empirical ? 3.5 : 7;
        assertThat(drawn[50_000]).isCloseTo(expected, within(0.02 * expected));
    }
}
