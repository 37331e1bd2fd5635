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

/** The form of observations and rates on the wire, and the subsets that follow from rates. */
class ObservationCodecPropertiesTest {
    @Property
    void decodedObservationsEqualEncodedOnesAndAreOlder(
            @ForAll @Size(max = 40) List<Integer> hosts,
            @ForAll @DoubleRange(max = 4_000) double age,
            @ForAll @DoubleRange(max = 2_000) double since) {
        List<HostObservation> votes =
                hosts.stream().map(h -> new HostObservation(h, h % 2 == 0, age)).toList();
        List<byte[]> values = ObservationCodec.encode(votes, 3);
        assertThat(values).hasSizeLessThanOrEqualTo(3).allMatch(v -> v.length <= 32);
        List<HostObservation> decoded = new ArrayList<>();
        values.forEach(v -> decoded.addAll(ObservationCodec.decode(v, since)));
        assertThat(decoded).hasSize(Math.min(18, votes.size()));
        for (int i = 0; i < decoded.size(); i++) {
            assertThat(decoded.get(i).host()).isEqualTo(votes.get(i).host());
            assertThat(decoded.get(i).failed()).isEqualTo(votes.get(i).failed());
            assertThat(decoded.get(i).ageMillis())
                    .isBetween(age + since - ObservationCodec.AGE_STEP_MILLIS, age + since);
        }
    }

    @Property
    void arbitraryBytesDecodeToValidRangeOrThrow(@ForAll @Size(max = 40) byte[] bytes, @ForAll double since) {
        try {
            assertThat(ObservationCodec.decode(bytes, since))
                    .allMatch(observation ->
                            observation.ageMillis() >= 0 && observation.ageMillis() <= HostObservation.MAX_AGE_MILLIS);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageStartingWith("no observations");
        }
        try {
            assertThat(RequestRate.decode(bytes)).isBetween(0.0, 1e6);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageStartingWith("invalid request rate");
        }
    }

    @Property
    void subsetsAreSpacedEvenlyAndGrowWithRate(
            @ForAll @IntRange(min = 1, max = 60) int count, @ForAll @DoubleRange(min = 0.1, max = 50) double hot) {
        List<String> names = new ArrayList<>();
        Map<String, Double> rates = new java.util.HashMap<>();
        for (int i = 0; i < count; i++) {
            names.add("m" + i);
            rates.put("m" + i, i == 0 ? hot : 1);
        }
        List<Integer> positions = new ArrayList<>();
        for (String name : names) {
            SubsetPosition position =
                    new SubsetPlanner().update(name, names, rates).orElseThrow();
            positions.add(position.position());
            assertThat(position.proxyCount()).isEqualTo(count);
            assertThat(position.weight()).isBetween(1.0, 16.0);
        }
        assertThat(positions).doesNotHaveDuplicates().allMatch(p -> p >= 0 && p < count);
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
        double now = 1e6;
        int changes = 0;
        for (int i = 0; i < 600; i++, now += 500) {
            rate.onAttempt(now);
            changes += rate.attributeValue(now) == null ? 0 : 1;
        }
        assertThat(rate.attemptsPerSecond(now)).isBetween(1.8, 2.2);
        assertThat(changes).isBetween(1, 4);
        for (int i = 0; i < 600; i++, now += 50) {
            rate.onAttempt(now);
        }
        assertThat(RequestRate.decode(rate.attributeValue(now))).isBetween(10.0, 22.0);
        assertThatThrownBy(() -> RequestRate.decode(new byte[3])).hasMessageContaining("3 bytes");
    }
}
