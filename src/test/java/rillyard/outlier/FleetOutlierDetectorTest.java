package rillyard.outlier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many proxies that each decide on one host from the observations of all. */
class FleetOutlierDetectorTest {
    private static final double DELAY_MILLIS = 1_000;

    @Test
    void failingHostIsEjectedByAllWithinErrorsIndependentOfFleetSize() {
        int[] errors = new int[2];
        int[] sizes = {20, 200};
        for (int index = 0; index < 2; index++) {
            // The host's whole traffic is the same: 12 a second.
            ObservationFleet fleet = new ObservationFleet(sizes[index], DELAY_MILLIS, 12.0 / sizes[index], 7);
            fleet.run(4_000, 0);
            fleet.run(8_000, 1);
            assertThat(fleet.ejectedCount()).as("of " + sizes[index]).isEqualTo(sizes[index]);
            errors[index] = fleet.failed;
        }
        // 12 a second until the votes are round: a second late, the hold, a step or two; then two trials a second.
        assertThat(errors[0]).isLessThan(60);
        assertThat(errors[1]).isLessThan(60);
    }

    @ParameterizedTest
    @CsvSource({"0.02,0", "0.1,0", "0.3,2"})
    void lossyHostIsNotEjected(double fails, int most) {
        int left = 0;
        for (int seed = 0; seed < 20; seed++) {
            ObservationFleet fleet = new ObservationFleet(40, DELAY_MILLIS, 0.3, seed);
            fleet.run(60_000, fails);
            left += fleet.proxies.stream().anyMatch(proxy -> !proxy.ejections.isEmpty()) ? 1 : 0;
        }
        assertThat(left).as("of 20 runs of a minute").isLessThanOrEqualTo(most);
    }

    @Test
    void probesKeepConfiguredRateAndReadmissionIsSpread() {
        ObservationFleet fleet = new ObservationFleet(100, DELAY_MILLIS, 0.3, 3);
        fleet.run(4_000, 0);
        fleet.run(6_000, 1);
        int before = fleet.sent;
        fleet.run(10_000, 1);
        // Two a second are meant; a proxy draws the instant, and then sends at its next request.
        assertThat(fleet.sent - before).isBetween(2, 40);
        int back = fleet.sent;
        fleet.run(10_000, 0);
        assertThat(fleet.proxies).allMatch(proxy -> proxy.readmissions.size() >= 1);
        assertThat(fleet.sent - back).isGreaterThan(100);
        double first = fleet.proxies.stream()
                .mapToDouble(proxy -> proxy.readmissions.get(0))
                .min()
                .orElseThrow();
        double last = fleet.proxies.stream()
                .mapToDouble(proxy -> proxy.readmissions.get(0))
                .max()
                .orElseThrow();
        assertThat(last - first).as("ms from the first to the last").isBetween(1_000.0, 4_500.0);
    }

    @Test
    void probeRateHoldsWhenHalfSeeHalfOfFleet() {
        ObservationFleet right = new ObservationFleet(100, DELAY_MILLIS, 0.3, 4);
        ObservationFleet half = new ObservationFleet(100, DELAY_MILLIS, 0.3, 4);
        half.halfAreWrong = true;
        int[] trials = new int[2];
        int index = 0;
        for (ObservationFleet fleet : List.of(right, half)) {
            fleet.run(4_000, 0);
            fleet.run(10_000, 1);
            int before = fleet.sent;
            fleet.run(30_000, 1);
            trials[index++] = fleet.sent - before;
        }
        assertThat(trials[0]).as("in 30 s, two a second meant").isBetween(20, 90);
        assertThat(trials[1]).as("with half of them wrong").isLessThan(135);
    }

    @Test
    void twoFalseReportsEjectNoHost() {
        int host = ObservationFleet.HOST;
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> falseReport = List.of(
                new HostObservation(host, true, 0),
                new HostObservation(host, true, 0),
                new HostObservation(host, true, 0));
        for (double now = 1e6; now < 1e6 + 60_000; now += 250) {
            detector.evaluate(List.of(falseReport, falseReport), 100, 1, now);
        }
        assertThat(ejections).isEmpty();
        for (double now = 2e6; now < 2e6 + 1_000; now += 250) {
            detector.evaluate(List.of(falseReport, falseReport, falseReport), 100, 1, now);
        }
        assertThat(ejections).as("three who agree, and nobody who was served").hasSize(1);
    }

    @Test
    void threeFalseReportsAgainstTwoSuccessesEjectNoHost() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> falseReport = List.of(new HostObservation(ObservationFleet.HOST, true, 0));
        List<HostObservation> served = List.of(new HostObservation(ObservationFleet.HOST, false, 500));
        for (double now = 1e6; now < 1e6 + 60_000; now += 250) {
            detector.evaluate(List.of(falseReport, served, falseReport, served, falseReport), 100, 1, now);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void ownSuccessAfterLastFailurePreventsEjection() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> old = List.of(new HostObservation(ObservationFleet.HOST, true, 3_000));
        for (double now = 1e6; now < 1e6 + 5_000; now += 250) {
            detector.onAttemptEnded(ObservationFleet.HOST, false, now - 100);
            detector.evaluate(List.of(old, old, old, old, old, old), 100, 1, now);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void observationsPastWindowAreIgnored() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> old = List.of(
                new HostObservation(ObservationFleet.HOST, true, FleetOutlierSettings.DEFAULT.observationWindow()));
        for (double now = 1e6; now < 1e6 + 5_000; now += 250) {
            detector.evaluate(List.of(old, old, old, old, old, old), 100, 1, now);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void isolatedProxyReadmitsEjectedHostEarly() {
        List<Double> readmissions = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), new FleetOutlierDetector.Listener() {
                    @Override
                    public void onEjected(int host, double wait, int failed, int served) {}

                    @Override
                    public void onReadmitted(int host, double wait) {
                        readmissions.add(wait);
                    }
                });
        List<HostObservation> failed = List.of(new HostObservation(ObservationFleet.HOST, true, 0));
        double now = 1e6;
        for (; now < 1e6 + 3_000; now += 250) {
            detector.evaluate(List.of(failed, failed, failed), 10_000, 1, now);
        }
        for (double cut = now; now < cut + FleetOutlierSettings.DEFAULT.forgetAfter() - 1_000; now += 250) {
            detector.evaluate(List.of(), 1, 1, now);
        }
        assertThat(readmissions).isEmpty();
        detector.evaluate(List.of(), 1, 1, now + 2_000);
        assertThat(readmissions).hasSize(1).allMatch(wait -> wait <= FleetOutlierSettings.DEFAULT.recoveryRamp());
    }

    @Test
    void lateObservationsDoNotKeepHealthyHostEjected() {
        ObservationFleet fleet = new ObservationFleet(100, 5_000, 0.3, 9);
        fleet.run(4_000, 0);
        fleet.run(3_000, 1);
        fleet.run(40_000, 0);
        assertThat(fleet.ejectedCount())
                .as("still away 40 s after it was well again")
                .isZero();
    }

    private static FleetOutlierDetector.Listener recordingListener(List<Double> ejections) {
        return new FleetOutlierDetector.Listener() {
            @Override
            public void onEjected(int host, double wait, int failed, int served) {
                ejections.add(wait);
            }

            @Override
            public void onReadmitted(int host, double wait) {}
        };
    }
}
