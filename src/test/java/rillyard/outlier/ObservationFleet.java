package rillyard.outlier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Proxies that use one host and hear each other's votes late, on a virtual clock. */
final class ObservationFleet {
    static final int HOST = HostObservation.number("s-20");
    private static final double STEP = 250;

    /** One proxy: when it may send to the host, and what it did. */
    final class Proxy implements FleetOutlierDetector.Out {
        final FleetOutlierDetector words = new FleetOutlierDetector(FleetOutlierSettings.USUAL, random.split(), this);
        final List<double[]> leaves = new ArrayList<>(); // when, until
        final List<Double> backs = new ArrayList<>();
        double notBefore;
        boolean trial;

        @Override
        public void leave(int host, double wait, int failed, int served) {
            leaves.add(new double[] {now, now + wait});
            notBefore = Math.max(notBefore, now + wait);
            trial = true;
        }

        @Override
        public void comeBack(int host, double wait) {
            backs.add(now + wait);
            notBefore = Math.min(notBefore, now + wait);
            trial = false;
        }
    }

    private record Heard(double at, List<HostObservation> votes) {}

    final SplittableRandom random;
    final List<Proxy> proxies = new ArrayList<>();
    final double late;
    final double each;
    private final Map<Proxy, List<Heard>> said = new HashMap<>();
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
        this.late = late;
        this.each = each;
        for (int i = 0; i < proxies; i++) {
            this.proxies.add(new Proxy());
        }
    }

    /** Time passes while the host fails that share of its requests. */
    void run(double ms, double fails) {
        for (double end = now + ms; now < end; now += STEP) {
            for (Proxy proxy : proxies) {
                if (now >= proxy.notBefore && random.nextDouble() < each * STEP / 1_000) {
                    boolean lost = random.nextDouble() < fails;
                    sent++;
                    bySecond.merge((int) ((now - began) / 1_000), 1, Integer::sum);
                    failed += lost ? 1 : 0;
                    proxy.words.ended(HOST, lost, now);
                    proxy.trial &= lost;
                    if (lost && proxy.trial) {
                        proxy.notBefore = now + 2_000; // by itself, until it hears what the fleet's pace is
                    }
                }
            }
            for (Proxy p : proxies) {
                List<List<HostObservation>> others = new ArrayList<>();
                said.forEach((who, all) -> {
                    if (who != p) {
                        for (int i = all.size() - 1; i >= 0; i--) {
                            Heard heard = all.get(i);
                            if (now - heard.at >= late) {
                                others.add(heard.votes.stream()
                                        .filter(observation ->
                                                observation.ageMillis() + now - heard.at <= HostObservation.MAX_AGE)
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
                List<HostObservation> mine = p.words.step(
                        others,
                        halfAreWrong && proxies.indexOf(p) % 2 == 0 ? proxies.size() / 2 : proxies.size(),
                        1,
                        now);
                List<Heard> all = said.computeIfAbsent(p, x -> new ArrayList<>());
                all.add(new Heard(now, mine));
                all.removeIf(h -> now - h.at > late + 5_000);
            }
        }
    }

    long left() {
        return proxies.stream()
                .filter(proxy -> proxy.leaves.size() > 0 && proxy.backs.size() == 0)
                .count();
    }
}
