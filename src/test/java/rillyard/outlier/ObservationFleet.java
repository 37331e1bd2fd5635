package rillyard.outlier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Simulates proxies that use one host and receive each other's observations with a delay, on a virtual clock. */
final class ObservationFleet {
    static final int HOST = HostObservation.hostNumber("s-20");
    private static final double STEP_MILLIS = 250;

    /** One proxy: when it may send to the host, and what it did. */
    final class Proxy implements FleetOutlierDetector.Listener {
        final FleetOutlierDetector detector =
                new FleetOutlierDetector(FleetOutlierSettings.DEFAULT, random.split(), this);
        final List<double[]> ejections = new ArrayList<>(); // time and end of each
        final List<Double> readmissions = new ArrayList<>();
        double notBeforeMillis;
        boolean probing;

        @Override
        public void onEjected(int host, double probeDelayMillis, int failedProxies, int servedProxies) {
            ejections.add(new double[] {nowMillis, nowMillis + probeDelayMillis});
            notBeforeMillis = Math.max(notBeforeMillis, nowMillis + probeDelayMillis);
            probing = true;
        }

        @Override
        public void onReadmitted(int host, double delayMillis) {
            readmissions.add(nowMillis + delayMillis);
            notBeforeMillis = Math.min(notBeforeMillis, nowMillis + delayMillis);
            probing = false;
        }
    }

    private record Publication(double atMillis, List<HostObservation> observations) {}

    final SplittableRandom random;
    final List<Proxy> proxies = new ArrayList<>();
    final double delayMillis;
    final double requestsPerSecond;
    private final Map<Proxy, List<Publication>> published = new HashMap<>();
    double nowMillis = 1e9;
    /** Whether every second proxy assumes half as many proxies as there are. */
    boolean halfUnderestimateFleet;

    int sent;
    int failed;
    /** Number of requests sent to the host in each second since the start. */
    final Map<Integer, Integer> sentBySecond = new HashMap<>();

    private final double startMillis = nowMillis;

    /**
     * Creates a fleet.
     *
     * @param delayMillis time after which observations reach the other proxies
     * @param requestsPerSecond requests of each proxy to the host
     */
    ObservationFleet(int proxyCount, double delayMillis, double requestsPerSecond, long seed) {
        this.random = new SplittableRandom(seed);
        this.delayMillis = delayMillis;
        this.requestsPerSecond = requestsPerSecond;
        for (int i = 0; i < proxyCount; i++) {
            this.proxies.add(new Proxy());
        }
    }

    /** Advances the clock while the host fails a share of its requests. */
    void run(double durationMillis, double failureShare) {
        for (double endMillis = nowMillis + durationMillis; nowMillis < endMillis; nowMillis += STEP_MILLIS) {
            for (Proxy proxy : proxies) {
                if (nowMillis >= proxy.notBeforeMillis
                        && random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000) {
                    boolean hasFailed = random.nextDouble() < failureShare;
                    sent++;
                    sentBySecond.merge((int) ((nowMillis - startMillis) / 1_000), 1, Integer::sum);
                    failed += hasFailed ? 1 : 0;
                    proxy.detector.onAttemptEnded(HOST, hasFailed, nowMillis);
                    proxy.probing &= hasFailed;
                    if (hasFailed && proxy.probing) {
                        proxy.notBeforeMillis = nowMillis + 2_000; // its own wait, until the fleet sets the delay
                    }
                }
            }
            for (Proxy receiver : proxies) {
                List<List<HostObservation>> others = new ArrayList<>();
                published.forEach((sender, publications) -> {
                    if (sender != receiver) {
                        for (int i = publications.size() - 1; i >= 0; i--) {
                            Publication received = publications.get(i);
                            if (nowMillis - received.atMillis >= delayMillis) {
                                others.add(received.observations.stream()
                                        .filter(observation -> observation.ageMillis() + nowMillis - received.atMillis
                                                <= HostObservation.MAX_AGE_MILLIS)
                                        .map(observation -> new HostObservation(
                                                observation.host(),
                                                observation.failed(),
                                                observation.ageMillis() + nowMillis - received.atMillis))
                                        .toList());
                                break;
                            }
                        }
                    }
                });
                List<HostObservation> own = receiver.detector.evaluate(
                        others,
                        halfUnderestimateFleet && proxies.indexOf(receiver) % 2 == 0
                                ? proxies.size() / 2
                                : proxies.size(),
                        1,
                        nowMillis);
                List<Publication> publications = published.computeIfAbsent(receiver, key -> new ArrayList<>());
                publications.add(new Publication(nowMillis, own));
                publications.removeIf(publication -> nowMillis - publication.atMillis > delayMillis + 5_000);
            }
        }
    }

    long ejectedCount() {
        return proxies.stream()
                .filter(proxy -> proxy.ejections.size() > 0 && proxy.readmissions.size() == 0)
                .count();
    }
}
