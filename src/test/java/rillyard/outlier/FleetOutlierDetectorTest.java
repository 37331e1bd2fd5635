package rillyard.outlier;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many proxies that each decide on one host from the observations of all.
 *
 * <p>Guards against a failing host that costs the more errors the larger the fleet is, against ejections of a healthy
 * host because of lost requests or false reports, and against too many probes or too late a readmission.
 */
class FleetOutlierDetectorTest {
    private static final double DELAY_MILLIS = 1_000;

    @Test
    void failingHostIsEjectedByAllAfterFewErrorsInSmallAndLargeFleets() {
        int[] errors = new int[2];
        int[] sizes = {20, 200};
        for (int index = 0; index < 2; index++) {
            // The total load of the host is the same: 12 requests per second.
            ObservationFleet fleet = new ObservationFleet(sizes[index], DELAY_MILLIS, 12.0 / sizes[index], 7);
            fleet.run(4_000, 0);
            fleet.run(8_000, 1);
            assertThat(fleet.ejectedCount())
                    .as("ejected by proxies of " + sizes[index])
                    .isEqualTo(sizes[index]);
            errors[index] = fleet.failed;
        }
        // 12 per second during the delay of 1 s, the confirmation time and a step or two; then two probes per second.
        assertThat(errors[0]).isLessThan(60);
        assertThat(errors[1]).isLessThan(60);
    }

    @ParameterizedTest
    @CsvSource({"0.02,0", "0.1,0", "0.3,2"})
    void lossyHostIsNotEjected(double failureShare, int maxRuns) {
        int runsWithEjection = 0;
        for (int seed = 0; seed < 20; seed++) {
            ObservationFleet fleet = new ObservationFleet(40, DELAY_MILLIS, 0.3, seed);
            fleet.run(60_000, failureShare);
            runsWithEjection += fleet.proxies.stream().anyMatch(proxy -> !proxy.ejections.isEmpty()) ? 1 : 0;
        }
        assertThat(runsWithEjection)
                .as("with an ejection, of 20 runs of a minute")
                .isLessThanOrEqualTo(maxRuns);
    }

    @Test
    void probesKeepConfiguredRateAndReadmissionIsSpread() {
        ObservationFleet fleet = new ObservationFleet(100, DELAY_MILLIS, 0.3, 3);
        fleet.run(4_000, 0);
        fleet.run(6_000, 1);
        int before = fleet.sent;
        fleet.run(10_000, 1);
        // Two per second are configured; a proxy draws the time, and sends the probe with its next request.
        assertThat(fleet.sent - before).isBetween(2, 40);
        int sentBeforeRecovery = fleet.sent;
        fleet.run(10_000, 0);
        assertThat(fleet.proxies).allMatch(proxy -> proxy.readmissions.size() >= 1);
        assertThat(fleet.sent - sentBeforeRecovery).isGreaterThan(100);
        double firstMillis = fleet.proxies.stream()
                .mapToDouble(proxy -> proxy.readmissions.get(0))
                .min()
                .orElseThrow();
        double lastMillis = fleet.proxies.stream()
                .mapToDouble(proxy -> proxy.readmissions.get(0))
                .max()
                .orElseThrow();
        assertThat(lastMillis - firstMillis).as("ms from the first to the last").isBetween(1_000.0, 4_500.0);
    }

    @Test
    void probeRateHoldsWhenHalfOfProxiesSeeHalfOfFleet() {
        ObservationFleet accurate = new ObservationFleet(100, DELAY_MILLIS, 0.3, 4);
        ObservationFleet underestimating = new ObservationFleet(100, DELAY_MILLIS, 0.3, 4);
        underestimating.halfUnderestimateFleet = true;
        int[] probes = new int[2];
        int index = 0;
        for (ObservationFleet fleet : List.of(accurate, underestimating)) {
            fleet.run(4_000, 0);
            fleet.run(10_000, 1);
            int before = fleet.sent;
            fleet.run(30_000, 1);
            probes[index++] = fleet.sent - before;
        }
        assertThat(probes[0]).as("in 30 s, two per second configured").isBetween(20, 90);
        assertThat(probes[1])
                .as("with half of the proxies underestimating the fleet")
                .isLessThan(135);
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
        for (double nowMillis = 1e6; nowMillis < 1e6 + 60_000; nowMillis += 250) {
            detector.evaluate(List.of(falseReport, falseReport), 100, 1, nowMillis);
        }
        assertThat(ejections).isEmpty();
        for (double nowMillis = 2e6; nowMillis < 2e6 + 1_000; nowMillis += 250) {
            detector.evaluate(List.of(falseReport, falseReport, falseReport), 100, 1, nowMillis);
        }
        assertThat(ejections).as("three that agree, and none that was served").hasSize(1);
    }

    @Test
    void threeFalseReportsAgainstTwoSuccessesEjectNoHost() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> falseReport = List.of(new HostObservation(ObservationFleet.HOST, true, 0));
        List<HostObservation> served = List.of(new HostObservation(ObservationFleet.HOST, false, 500));
        for (double nowMillis = 1e6; nowMillis < 1e6 + 60_000; nowMillis += 250) {
            detector.evaluate(List.of(falseReport, served, falseReport, served, falseReport), 100, 1, nowMillis);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void ownSuccessAfterLastFailurePreventsEjection() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> old = List.of(new HostObservation(ObservationFleet.HOST, true, 3_000));
        for (double nowMillis = 1e6; nowMillis < 1e6 + 5_000; nowMillis += 250) {
            detector.onAttemptEnded(ObservationFleet.HOST, false, nowMillis - 100);
            detector.evaluate(List.of(old, old, old, old, old, old), 100, 1, nowMillis);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void observationsPastWindowAreIgnored() {
        List<Double> ejections = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), recordingListener(ejections));
        List<HostObservation> old = List.of(new HostObservation(
                ObservationFleet.HOST, true, FleetOutlierSettings.DEFAULT.observationWindowMillis()));
        for (double nowMillis = 1e6; nowMillis < 1e6 + 5_000; nowMillis += 250) {
            detector.evaluate(List.of(old, old, old, old, old, old), 100, 1, nowMillis);
        }
        assertThat(ejections).isEmpty();
    }

    @Test
    void isolatedProxyReadmitsEjectedHostEarly() {
        List<Double> readmissions = new ArrayList<>();
        FleetOutlierDetector detector = new FleetOutlierDetector(
                FleetOutlierSettings.DEFAULT, new SplittableRandom(1), new FleetOutlierDetector.Listener() {
                    @Override
                    public void onEjected(int host, double probeDelayMillis, int failedProxies, int servedProxies) {}

                    @Override
                    public void onReadmitted(int host, double delayMillis) {
                        readmissions.add(delayMillis);
                    }
                });
        List<HostObservation> failed = List.of(new HostObservation(ObservationFleet.HOST, true, 0));
        double nowMillis = 1e6;
        for (; nowMillis < 1e6 + 3_000; nowMillis += 250) {
            detector.evaluate(List.of(failed, failed, failed), 10_000, 1, nowMillis);
        }
        for (double cutOffMillis = nowMillis;
                nowMillis < cutOffMillis + FleetOutlierSettings.DEFAULT.forgetAfterMillis() - 1_000;
                nowMillis += 250) {
            detector.evaluate(List.of(), 1, 1, nowMillis);
        }
        assertThat(readmissions).isEmpty();
        detector.evaluate(List.of(), 1, 1, nowMillis + 2_000);
        assertThat(readmissions)
                .hasSize(1)
                .allMatch(delayMillis -> delayMillis <= FleetOutlierSettings.DEFAULT.recoveryRampMillis());
    }

    @Test
    void lateObservationsDoNotKeepHealthyHostEjected() {
        ObservationFleet fleet = new ObservationFleet(100, 5_000, 0.3, 9);
        fleet.run(4_000, 0);
        fleet.run(3_000, 1);
        fleet.run(40_000, 0);
        assertThat(fleet.ejectedCount())
                .as("still ejected 40 s after it recovered")
                .isZero();
    }

    private static FleetOutlierDetector.Listener recordingListener(List<Double> ejections) {
        return new FleetOutlierDetector.Listener() {
            @Override
            public void onEjected(int host, double probeDelayMillis, int failedProxies, int servedProxies) {
                ejections.add(probeDelayMillis);
            }

            @Override
            public void onReadmitted(int host, double delayMillis) {}
        };
    }
}
