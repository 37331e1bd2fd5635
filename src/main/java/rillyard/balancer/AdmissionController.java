package rillyard.balancer;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Own rate and load, and early refusal when the aim can't be met. */
final class AdmissionController {
    /** The part of recent requests that came from a tenant. */
    private static final class TenantUsage {
        final double portion;
        double count;
        double at;

        TenantUsage(double portion) {
            this.portion = portion;
        }
    }

    private final SplittableRandom random;
    private final BalancerActions actions;
    private final Settings settings;
    private final Map<String, TenantUsage> shares = new HashMap<>();
    private double sum;
    private double servedPart = 1;
    private double rate;
    private double rateAt;
    private double rateSince = Double.NaN;
    private double usual;
    private double peak;
    private double peakAt;
    private int open;
    private double lateness;
    private double lost;
    private double pressureAt;
    private double meanValue;
    private final double start;
    private double turnedAwayAt = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    AdmissionController(Settings settings, SplittableRandom random, BalancerActions actions) {
        this.settings = settings;
        settings.tenants().forEach(t -> shares.put(t.name(), new TenantUsage(t.quotaShare())));
        this.random = random;
        this.start = random.nextDouble();
        this.actions = actions;
    }

    void arrived(double now, Settings.RequestClass rules, String tenant) {
        TenantUsage s = shares.get(tenant);
        double fade = Math.exp(-(now - rateAt) / Tuning.SHARE_MEMORY);
        sum = sum * fade + 1;
        if (s != null) {
            s.count = s.count * Math.exp(-(now - s.at) / Tuning.SHARE_MEMORY) + 1;
            s.at = now;
        }
        rateSince = Double.isNaN(rateSince) ? now : rateSince;
        rate = rate * Math.exp(-(now - rateAt) / Tuning.RATE_MEMORY) + 1 / Tuning.RATE_MEMORY;
        double old = Math.exp(-(now - rateAt) / Tuning.PEAK_MEMORY);
        rateAt = now;
        usual = old * usual + (1 - old) * served(now);
        meanValue += 0.02 * (rules.priorityWeight() - meanValue);
    }

    /** Worth of a tenant's request, 1 within its share: one's burst must not displace the others. */
    double standing(String tenant) {
        TenantUsage s = shares.get(tenant);
        if (s == null || s.portion <= 0) {
            return 1;
        }
        double part = (s.count + Tuning.SHARE_PRIOR * s.portion) / (sum + Tuning.SHARE_PRIOR);
        return Math.min(1, Math.max(settings.overQuotaWeight(), s.portion / part));
    }

    /** Notes whether an attempt, or a request refused for its lateness, was of use. */
    void ended(boolean served) {
        servedPart += Tuning.LATENCY_ALPHA * ((served ? 1 : 0) - servedPart);
    }

    /** Own requests per ms that get served, at least as usual: a jam of some does not make cold hosts smaller. */
    double servedRate(double now) {
        return Math.max(usual, served(now));
    }

    private double served(double now) {
        // A proxy that takes over has all of the load at once: what the memory lacks of it is made up for.
        double seen = 1 - Math.exp(-(now - rateSince + Tuning.RATE_LEAST) / Tuning.RATE_MEMORY);
        return rate
                * Math.exp(-(now - rateAt) / Tuning.RATE_MEMORY)
                / (seen > 0 ? seen : 1)
                * Math.max(Tuning.LEAST_SERVED, servedPart);
    }

    void inFlight(double now, int change) {
        open += change;
        peak = Math.max(open, peak(now));
        peakAt = now;
    }

    /** The recent peak of own attempts in flight. */
    double peak(double now) {
        return Math.max(open, peak * Math.exp(-(now - peakAt) / Tuning.PEAK_MEMORY));
    }

    /** Notes an answer's time as part of the aim of its class, or that an attempt brought none. */
    void answered(double now, double relative, boolean none) {
        double gap = now - pressureAt;
        // A proxy with few requests weighs each one more, or it would learn of a jam after its end.
        double weight = Math.min(
                0.3, Math.max(Tuning.LATENCY_ALPHA, gap / (Tuning.PRESSURE_MEMORY * settings.meanLatencyObjective())));
        double left = fade(now);
        lateness = left * lateness + (none ? 0 : weight * (Math.min(2, relative) - left * lateness));
        lost = left * lost + weight * ((none ? 1 : 0) - left * lost);
        pressureAt = now;
    }

    /** Notes that a request was refused which could still have been of use: there is no room. */
    void turnedAway(double now, RetryPolicy.RequestState c) {
        if (!c.type.tooLate(c.aimLeft)) {
            turnedAwayAt = now;
        }
    }

    /**
     * Recent answer time as part of the aim, 0 to 2. Of attempts with no answer only those count that are
     * more than a part of the hosts explains. Guards against some hosts that limit their rate or lose answers
     * being taken for a jam of all: what is refused for them has room elsewhere, and is asked again at once.
     */
    double pressure(double now) {
        double jam = Math.max(0, lost - Tuning.EJECT_PART) / (1 - Tuning.EJECT_PART);
        return fade(now) * (lateness + jam * (2 - lateness));
    }

    private double fade(double now) {
        return Math.exp(-(now - pressureAt) / (Tuning.PRESSURE_FADE * settings.meanLatencyObjective()));
    }

    /** Whether answers come so late that a further attempt would only feed the jam. */
    boolean jammed(double now) {
        return pressure(now) > Tuning.REFUSE_FROM + Tuning.REFUSE_SPAN / 2;
    }

    /** Whether to refuse on arrival: as answers near the aim, ever more, the least worth first. */
    boolean refuses(double now, RetryPolicy.RequestState c) {
        double over = (pressure(now) - Tuning.REFUSE_FROM) / Tuning.REFUSE_SPAN;
        boolean turned = overloaded ? pressure(now) < Tuning.REFUSE_FROM / 2 : over > 0.5;
        if (turned) {
            overloaded = !overloaded;
            actions.log(overloaded ? "overload: refusing early" : "overload over");
        }
        Settings.RequestClass rules = c.type.rules;
        if (c.type.tooLate(c.aimLeft)
                && (pressure(now) > Tuning.REFUSE_LATE_FROM
                        || now - turnedAwayAt < Tuning.REFUSE_LATE_FOR * settings.meanLatencyObjective())) {
            return random.nextDouble() >= rules.latePriorityWeight();
        }
        if (over <= 0) {
            return false;
        }
        double relative = meanValue > 0 ? Math.max(0.2, c.standing * rules.priorityWeight() / meanValue) : 1;
        return coin(now) < Math.min(Tuning.REFUSE_MOST, over / relative);
    }

    /**
     * Chance that lasts for a moment, spread evenly. Guards against clients that come back at once: with a
     * chance of its own for each try nearly all would be let through in the end.
     */
    private double coin(double now) {
        double turn = start + Math.floor(now / (Tuning.REFUSE_SLOT * settings.meanLatencyObjective())) * Tuning.GOLDEN;
        return turn - Math.floor(turn);
    }
}
