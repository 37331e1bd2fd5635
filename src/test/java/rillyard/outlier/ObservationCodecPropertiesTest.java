package rillyard.outlier;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rillyard.balancer.SubsetPosition;
import rillyard.subset.RequestRate;
import rillyard.subset.SubsetPlanner;

/**
 * Properties of the encoding of observations and request rates, and of the subsets that are planned from rates.
 *
 * <p>Guards against observations that are changed by the encoding or get younger on the way, against malformed values
 * of peers that are taken for valid ones, and against subsets that overlap or move with every small change of a rate.
 */
class ObservationCodecPropertiesTest {
    @Property
    void decodedObservationsEqualEncodedOnesAndAreOlder(
            @ForAll @Size(max = 40) List<Integer> hosts,
            @ForAll @DoubleRange(max = 4_000) double ageMillis,
            @ForAll @DoubleRange(max = 2_000) double elapsedMillis) {
        List<HostObservation> observations = hosts.stream()
                .map(host -> new HostObservation(host, host % 2 == 0, ageMillis))
                .toList();
        List<byte[]> values = ObservationCodec.encode(observations, 3);
        assertThat(values).hasSizeLessThanOrEqualTo(3).allMatch(value -> value.length <= 32);
        List<HostObservation> decoded = new ArrayList<>();
        values.forEach(value -> decoded.addAll(ObservationCodec.decode(value, elapsedMillis)));
        assertThat(decoded).hasSize(Math.min(18, observations.size()));
        for (int i = 0; i < decoded.size(); i++) {
            assertThat(decoded.get(i).host()).isEqualTo(observations.get(i).host());
            assertThat(decoded.get(i).failed()).isEqualTo(observations.get(i).failed());
            assertThat(decoded.get(i).ageMillis())
                    .isBetween(ageMillis + elapsedMillis - ObservationCodec.AGE_STEP_MILLIS, ageMillis + elapsedMillis);
        }
    }

    @Property
    void arbitraryBytesDecodeToValidRangeOrThrow(@ForAll @Size(max = 40) byte[] bytes, @ForAll double elapsedMillis) {
        try {
            assertThat(ObservationCodec.decode(bytes, elapsedMillis))
                    .allMatch(observation ->
                            observation.ageMillis() >= 0 && observation.ageMillis() <= HostObservation.MAX_AGE_MILLIS);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageStartingWith("malformed observations");
        }
        try {
            assertThat(RequestRate.decode(bytes)).isBetween(0.0, 1e6);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageStartingWith("invalid request rate");
        }
    }

    @Property
    void subsetsAreSpacedEvenlyAndGrowWithRate(
            @ForAll @IntRange(min = 1, max = 60) int count,
            @ForAll @DoubleRange(min = 0.1, max = 50) double firstRate) {
        List<String> names = new ArrayList<>();
        Map<String, Double> rates = new java.util.HashMap<>();
        for (int i = 0; i < count; i++) {
            names.add("m" + i);
            rates.put("m" + i, i == 0 ? firstRate : 1);
        }
        List<Integer> positions = new ArrayList<>();
        for (String name : names) {
            SubsetPosition position =
                    new SubsetPlanner().update(name, names, rates).orElseThrow();
            positions.add(position.position());
            assertThat(position.proxyCount()).isEqualTo(count);
            assertThat(position.weight()).isBetween(1.0, 16.0);
        }
        assertThat(positions).doesNotHaveDuplicates().allMatch(position -> position >= 0 && position < count);
    }

    @Test
    void smallRateChangeKeepsSubset() {
        SubsetPlanner planner = new SubsetPlanner();
        assertThat(planner.update("m0", List.of("m0", "m1"), Map.of("m0", 2.0, "m1", 1.0))
                        .orElseThrow()
                        .weight())
                .isEqualTo(2 / 1.5);
        assertThat(planner.update("m0", List.of("m0", "m1"), Map.of("m0", 2.2, "m1", 1.0)))
                .isEmpty();
        assertThat(planner.update("m0", List.of("m0", "m1"), Map.of("m0", 20.0, "m1", 1.0)))
                .isPresent();
    }

    @Test
    void rateIsPublishedOnlyWhenChanged() {
        RequestRate rate = new RequestRate();
        assertThat(rate.attributeValue(1e6)).isNull();
        double nowMillis = 1e6;
        int changes = 0;
        for (int i = 0; i < 600; i++, nowMillis += 500) {
            rate.onAttempt(nowMillis);
            changes += rate.attributeValue(nowMillis) == null ? 0 : 1;
        }
        assertThat(rate.attemptsPerSecond(nowMillis)).isBetween(1.8, 2.2);
        assertThat(changes).isBetween(1, 4);
        for (int i = 0; i < 600; i++, nowMillis += 50) {
            rate.onAttempt(nowMillis);
        }
        assertThat(RequestRate.decode(rate.attributeValue(nowMillis))).isBetween(10.0, 22.0);
        assertThatThrownBy(() -> RequestRate.decode(new byte[3])).hasMessageContaining("3 bytes");
    }
}
