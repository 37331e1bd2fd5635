package rillyard.balancer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** The design's draw: from a pool, d candidates, the one with the fewest own requests wins. */
final class HostSelector {
    private final Settings settings;
    private final HostSet fleet;
    private final OutlierDetector health;
    private final RetryPolicy attempts;
    private final AdmissionController admission;
    private final SplittableRandom random;
    private HostState[] local = {};
    private HostState[] remote = {};
    private int choices = Tuning.MIN_CHOICES;
    private final List<HostState> drawn = new ArrayList<>();
    private int size;
    private SubsetPosition place;
    private List<HostState> laidOver;
    private HostState best;
    private double bestCount;
    private double bestWait;
    private int equals;

    HostSelector(
            Settings settings,
            HostSet fleet,
            OutlierDetector health,
            RetryPolicy attempts,
            AdmissionController admission,
            SplittableRandom random) {
        this.settings = settings;
        this.fleet = fleet;
        this.health = health;
        this.attempts = attempts;
        this.admission = admission;
        this.random = random;
        place(new SubsetPosition(
                Math.floorMod(settings.proxyIndex(), settings.proxyCount()), settings.proxyCount(), 1, false));
    }

    /** The pool is laid there for the next request. */
    void place(SubsetPosition p) {
        place = p;
        laidOver = null;
    }

    /** The host for the next attempt of the call, or null where none may or should get it. */
    HostState pick(RetryPolicy.RequestState c, double now) {
        candidates(c, now);
        best = null;
        drawn.forEach(h -> consider(h, c, now));
        best = best != null ? best : anyAllowed(c, now);
        if (best != null && fleet.warmth(best, now) < 1) {
            best.coldCredit--;
        }
        return best;
    }

    private void candidates(RetryPolicy.RequestState c, double now) {
        // Guards against many proxies that use up the hosts' connections (if1c0a3); those in use add up to the same.
        double peak = admission.peak(now);
        double most =
                Math.max(Tuning.MIN_CHOICES, Tuning.HOST_PROXIES * fleet.ready().size() / settings.proxyCount());
        int wanted = (int)
                (place.weight() * Math.min(Tuning.BASE_POOL + Tuning.POOL_PER_IN_FLIGHT * peak, Math.max(most, peak)));
        if (laidOver != fleet.ready() || wanted > size || wanted < size / 2) {
            rebuild(wanted, now);
        }
        drawn.clear();
        // Other zones are drawn from too once answers near here take a good part of the aim.
        if (!draw(local, c, now) && (drawn.isEmpty() || admission.pressure(now) > Tuning.SPILL_FROM)) {
            draw(remote, c, now);
        }
    }

    /** Adds up to d of the pool's hosts to those drawn; true if one of them is due for a trial. */
    private boolean draw(HostState[] pool, RetryPolicy.RequestState c, double now) {
        int seen = 0;
        for (int i = 0; i < 4 * choices && seen < choices && pool.length > 0; i++) {
            HostState h = pool[random.nextInt(pool.length)];
            if (drawn.contains(h) || !usable(h, c, now)) {
                continue;
            }
            if (h.halfOpen && c.type.repeatable()) {
                drawn.clear(); // a trial: an ejected host that nobody draws would stay out for ever
                drawn.add(h);
                return true;
            }
            seen++;
            drawn.add(h);
        }
        return false;
    }

    private boolean usable(HostState h, RetryPolicy.RequestState c, double now) {
        return attempts.allowed(c, h, now)
                && (c.attempts.isEmpty() ? inTime(h, c, now) : !c.tried(h))
                && health.available(h, now, c.type.overdueAfter())
                && (fleet.warmth(h, now) >= 1 || credit(h, local.length + remote.length, now));
    }

    /**
     * Whether the host can be expected to answer a first attempt in time. Each is asked on its own: by the
     * winner's figure all are refused where an idle host of which nothing is heard wins every draw.
     */
    private boolean inTime(HostState h, RetryPolicy.RequestState c, double now) {
        return fleet.expectedAnswer(h, now) <= c.patience;
    }

    private void consider(HostState h, RetryPolicy.RequestState c, double now) {
        double count = health.count(h, c.type, now);
        double wait = place.preferWarmingUp() && fleet.warmth(h, now) < 1 ? 0 : fleet.expectedWait(h, now);
        if (best != null && count > bestCount + 0.5) {
            return;
        }
        boolean fewer = best == null || count < bestCount - 0.5;
        boolean tie = !fewer && Math.abs(wait - bestWait) <= Tuning.WAIT_TIE * bestWait;
        equals = fewer ? 1 : tie ? equals + 1 : equals;
        if (fewer || (tie ? random.nextInt(equals) == 0 : wait < bestWait)) {
            best = h;
            bestCount = count;
            bestWait = wait;
        }
    }

    /** Guards rule 4: lends a cold host its part of what each of {@code among} hosts is served on the mean. */
    private boolean credit(HostState h, int among, double now) {
        Settings.Rules rules = settings.rules();
        double share = admission.servedRate(now) / Math.max(1, among);
        double gain = Tuning.COLD_SHARE
                * rules.overloadMultiple()
                * fleet.warmth(h, now)
                * share
                * (now - h.coldCreditAt)
                / Math.max(1, fleet.kindSlowness(h)); // a slow kind falls sooner
        h.coldCreditAt = now;
        h.coldCredit = Math.min(h.coldCredit + gain, 1 + share * rules.overloadWindow() / 2);
        return h.coldCredit >= 1;
    }

    /** When the draw finds nobody: a healthy host in time; one left out only where none is healthy at all. */
    private HostState anyAllowed(RetryPolicy.RequestState c, double now) {
        List<HostState> all = fleet.ready();
        int n = all.size();
        int start = n == 0 ? 0 : random.nextInt(n);
        HostState lastResort = null;
        boolean jam = false;
        for (int i = 0; i < n; i++) {
            HostState h = all.get((start + i) % n);
            if (!attempts.allowed(c, h, now) || (fleet.warmth(h, now) < 1 && !credit(h, n, now))) {
                continue;
            }
            boolean late = c.attempts.isEmpty() && !inTime(h, c, now);
            boolean healthy = health.available(h, now, c.type.overdueAfter());
            jam |= late && healthy;
            if (healthy && !late && !c.tried(h)) {
                return h;
            }
            if (c.attempts.isEmpty() && !late && (lastResort == null || h.inFlight < lastResort.inFlight)) {
                lastResort = h;
            }
        }
        return jam ? null : lastResort;
    }

    private void rebuild(int wanted, double now) {
        size = wanted;
        laidOver = fleet.ready();
        local = window(laidOver.stream().filter(this::isNear).toArray(HostState[]::new), wanted);
        remote = window(laidOver.stream().filter(h -> !isNear(h)).toArray(HostState[]::new), wanted);
        choices = choicesFor(local.length > 0 ? local : remote, now);
    }

    private boolean isNear(HostState h) {
        return settings.zone() == null || settings.zone().equals(h.zone);
    }

    /** A stable, balanced subset: proxies start evenly spread over the ring of hosts. */
    private HostState[] window(HostState[] ring, int wanted) {
        if (ring.length <= wanted) {
            return ring;
        }
        int start = (int) ((double) place.position() * ring.length / place.proxyCount());
        return IntStream.range(start, start + wanted)
                .mapToObj(i -> ring[i % ring.length])
                .toArray(HostState[]::new);
    }

    /** The least d for the number of proxies at which the j slowest hold C(j,d)/C(n,d) of the speed. */
    private int choicesFor(HostState[] pool, double now) {
        int n = pool.length;
        double[] speeds = Arrays.stream(pool)
                .mapToDouble(h -> 1 / Math.max(0.05, fleet.slowness(h, now)))
                .sorted()
                .toArray();
        double total = Arrays.stream(speeds).sum();
        int alone = Tuning.HERD / settings.proxyCount();
        int most = Math.max(Tuning.MAX_CHOICES, alone);
        for (int d = Math.max(Tuning.MIN_CHOICES, Math.min(n - 1, alone)); d < most; d++) {
            if (meets(speeds, total, d)) {
                return d;
            }
        }
        return most;
    }

    private static boolean meets(double[] speeds, double total, int d) {
        int n = speeds.length;
        double held = 0;
        for (int j = 1; j < n; j++) {
            held += speeds[j - 1];
            double share = 1;
            for (int i = 0; i < d; i++) {
                share *= Math.max(0, (double) (j - i) / (n - i));
            }
            if (held < share * total) {
                return false;
            }
        }
        return true;
    }
}
