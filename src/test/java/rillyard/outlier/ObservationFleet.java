package rillyard.outlier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Proxies that use one host and get each other's observations late, on a virtual clock. */
final class ObservationFleet {
    static final int HOST = HostObservation.hostNumber("s-20");
    private static final double STEP = 250;

    /** One proxy: when it may send to the host, and what it did. */
    final class Proxy implements FleetOutlierDetector.Listener {
        final FleetOutlierDetector detector =
                new FleetOutlierDetector(FleetOutlierSettings.DEFAULT, random.split(), this);
        final List<double[]> ejections = new ArrayList<>(); // when, until
        final List<Double> readmissions = new ArrayList<>();
        double notBefore;
        boolean probing;

        @Override
        public void onEjected(int host, double wait, int failed, int served) {
            ejections.add(new double[] {now, now + wait});
            notBefore = Math.max(notBefore, now + wait);
            probing = true;
        }

        @Override
        public void onReadmitted(int host, double wait) {
            readmissions.add(now + wait);
            notBefore = Math.min(notBefore, now + wait);
            probing = false;
        }
    }

    private record Heard(double at, List<HostObservation> votes) {}

    final SplittableRandom random;
    final List<Proxy> proxies = new ArrayList<>();
    final double delayMillis;
    final double requestsPerSecond;
    private final Map<Proxy, List<Heard>> published = new HashMap<>();
    double now = 1e9;
    /** Whether every second one believes in half as many proxies as there are. */
    boolean halfAreWrong;

    int sent;
    int failed;
    /** Sends to the host in each second since the start. */
    final Map<Integer, Integer> bySecond = new HashMap<>();

    private final double began = now;

    /** {@code late} ms until votes are heard; each proxy sends the host {@code each} requests a second. */
    ObservationFleet(int proxies, double late, double each, long seed) {
        this.random = new SplittableRandom(seed);
        this.delayMillis = late;
        this.requestsPerSecond = each;
        for (int i = 0; i < proxies; i++) {
            this.proxies.add(new Proxy());
        }
    }

    /** Time passes while the host fails that share of its requests. */
    void run(double ms, double fails) {
        for (double end = now + ms; now < end; now += STEP) {
            for (Proxy proxy : proxies) {
                if (now >= proxy.notBefore && random.nextDouble() < requestsPerSecond * STEP / 1_000) {
                    boolean lost = random.nextDouble() < fails;
                    sent++;
                    bySecond.merge((int) ((now - began) / 1_000), 1, Integer::sum);
                    failed += lost ? 1 : 0;
                    proxy.detector.onAttemptEnded(HOST, lost, now);
                    proxy.probing &= lost;
                    if (lost && proxy.probing) {
                        proxy.notBefore = now + 2_000; // by itself, until it hears what the fleet's pace is
                    }
                }
            }
            for (Proxy receiver : proxies) {
                List<List<HostObservation>> others = new ArrayList<>();
                published.forEach((who, all) -> {
                    if (who != receiver) {
                        for (int i = all.size() - 1; i >= 0; i--) {
                            Heard heard = all.get(i);
                            if (now - heard.at >= delayMillis) {
                                others.add(heard.votes.stream()
                                        .filter(observation -> observation.ageMillis() + now - heard.at
                                                <= HostObservation.MAX_AGE_MILLIS)
                                        .map(hostObservation -> new HostObservation(
                                                hostObservation.host(),
                                                hostObservation.failed(),
                                                hostObservation.ageMillis() + now - heard.at))
                                        .toList());
                                break;
                            }
                        }
                    }
                });
                List<HostObservation> mine = receiver.detector.evaluate(
                        others,
                        halfAreWrong && proxies.indexOf(receiver) % 2 == 0 ? proxies.size() / 2 : proxies.size(),
                        1,
                        now);
                List<Heard> all = published.computeIfAbsent(receiver, x -> new ArrayList<>());
                all.add(new Heard(now, mine));
                all.removeIf(h -> now - h.at > delayMillis + 5_000);
            }
        }
    }

    long ejectedCount() {
        return proxies.stream()
                .filter(proxy -> proxy.ejections.size() > 0 && proxy.readmissions.size() == 0)
                .count();
    }
}
