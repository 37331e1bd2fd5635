package rillyard.balancer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The host view: membership, drain state, own requests in flight, latency and load figures. */
final class HostSet {
    /** The part of a class's requests that a host has lately lost. */
    static final class FailureRate {
        double share;
        double at;
    }

    /** Speed of a kind of machine, the prior for hosts with few answers of their own. */
    private static final class MachineKindStats {
        double slowness = 1;
        int samples;
        double msPerHeld;
    }

    private final Settings settings;
    private final Map<Long, HostState> byId = new HashMap<>();
    private List<HostState> ready = List.of();
    private final Map<String, MachineKindStats> kinds = new HashMap<>();
    private final double reportFade;
    private int mark;
    private double meanHeld;
    private double anyReportAt = Double.NEGATIVE_INFINITY;

    HostSet(Settings settings) {
        this.settings = settings;
        this.reportFade = Tuning.REPORT_FADE * settings.meanLatencyObjective();
    }

    HostState get(long id) {
        return byId.get(id);
    }

    int avoided() {
        return (int) byId.values().stream()
                .filter(h -> h.listed && (!h.sendable || h.halfOpen))
                .count();
    }

    /** Hosts that may get requests, in ring order; another list whenever they change. */
    List<HostState> ready() {
        return ready;
    }

    void apply(double now, WatchEvent kind, List<EndpointEntry> entries, java.util.SplittableRandom random) {
        if (kind == WatchEvent.FAILED) {
            return;
        }
        mark++;
        boolean different = false;
        for (EndpointEntry e : entries) {
            HostState h = byId.computeIfAbsent(e.id(), HostState::new);
            boolean sendable = e.condition() == EndpointEntry.Condition.READY;
            h.zone = e.zone();
            h.kind = e.machineKind();
            h.cell = e.cell();
            h.listMark = mark;
            h.listed = e.condition() != EndpointEntry.Condition.GONE;
            if (e.onlineSince() != h.onlineSince) {
                h.onlineSince = e.onlineSince();
                restarted(h, now, random);
            }
            different |= sendable != h.sendable;
            h.sendable = sendable;
        }
        for (HostState h : byId.values()) {
            if (kind != WatchEvent.DELTA && h.listMark != mark) {
                different |= h.sendable;
                h.listed = false;
                h.sendable = false;
            }
        }
        if (different) {
            rebuild();
        }
        byId.values().removeIf(h -> !h.listed && h.inFlight == 0); // or churn fills memory
    }

    private void restarted(HostState h, double now, java.util.SplittableRandom random) {
        // A new process owes nothing to the old one; its credit starts at chance, or all would send at once.
        h.losses.clear();
        h.failuresInRow = 0;
        h.ejectedUntil = 0;
        h.halfOpen = false;
        h.charge = 0;
        h.report = LoadReport.NONE;
        h.reportAt = Double.NEGATIVE_INFINITY;
        h.sentSinceReport = 0;
        h.coldCredit = random.nextDouble();
        h.coldCreditAt = now;
    }

    private void rebuild() {
        ready = byId.values().stream()
                .filter(h -> h.sendable)
                .sorted(Comparator.<HostState>comparingLong(h -> h.ring).thenComparingLong(h -> h.id))
                .toList();
    }

    /** The least part of its capacity that a host has now: 1 when warm. */
    double warmth(HostState h, double now) {
        double age = now - h.onlineSince;
        double cold = settings.rules().warmUpTime();
        if (h.onlineSince <= 0 || age >= cold) {
            return 1;
        }
        double from = settings.rules().initialCapacity();
        return from + (1 - from) * Math.max(0, age) / cold;
    }

    void answered(HostState h, double now, double relative) {
        double capped = Math.min(relative, 8);
        double own = slowness(h, now);
        // The first answers weigh more: a light proxy would otherwise take a minute to learn.
        h.slowness = own + Math.max(Tuning.LATENCY_ALPHA, 1.0 / (++h.samples + 2)) * (capped - own);
        h.lastSample = now;
        MachineKindStats k = kinds.computeIfAbsent(h.kind, x -> new MachineKindStats());
        k.slowness += Math.max(Tuning.LATENCY_ALPHA / 2, 1.0 / (++k.samples + 4)) * (capped - k.slowness);
    }

    /** Learns, where a host reports that it holds many requests, how long each of them takes it. */
    void queued(HostState h, double heldBefore, double spent) {
        double held = Double.isNaN(heldBefore) ? h.report.outstanding() : heldBefore;
        if (held >= Tuning.QUEUE_SEEN) {
            MachineKindStats k = kinds.computeIfAbsent(h.kind, x -> new MachineKindStats());
            double each = spent / (held + 1);
            // The median: a few heavy requests say nothing of how long the next one will take.
            double step = each > k.msPerHeld ? Tuning.QUEUE_STEP : -Tuning.QUEUE_STEP;
            k.msPerHeld = k.msPerHeld == 0 ? each : k.msPerHeld * (1 + step);
        }
    }

    /**
     * The time (ms) that the host's queue will take; 0 where nothing tells. Guards against a report that
     * is believed for longer than its queue lasts, as what is refused for it brings no newer one; and
     * against one older than what we sent: the host holds at least what of that is still out. What is over
     * fades with the report, or requests without an answer would count as a queue for ever. It should serve
     * for any figure that only an answer renews; harm: a queue that lasts for aims and is not heard of.
     */
    double expectedAnswer(HostState h, double now) {
        MachineKindStats k = kinds.get(h.kind);
        if (k == null || k.msPerHeld == 0) {
            return 0;
        }
        double fresh = Math.exp(-(now - h.reportAt) / reportFade);
        double others = meanHeld * Math.exp(-(now - anyReportAt) / reportFade);
        double left = h.report.outstanding() - (now - h.reportAt) / k.msPerHeld;
        double told = fresh == 0 ? 0 : Math.max(Math.min(h.report.outstanding(), others), left);
        double held =
                Math.max(h.inFlight - lost(h, null, now), fresh * (told + h.sentSinceReport) + (1 - fresh) * others);
        return held > Tuning.QUEUE_SEEN ? k.msPerHeld * (held + 1) : 0;
    }

    /**
     * Attempts out past their aim that later ones have overtaken, but for those of the class {@code of}.
     * They are lost rather than queued, and what is lost of one class tells nothing of another.
     */
    int lost(HostState h, RetryPolicy.RequestClassStats of, double now) {
        int n = 0;
        for (RetryPolicy.AttemptState a : h.out) {
            if (a.sentAt >= h.newestAnswered) {
                break; // in the order of their sends
            }
            RetryPolicy.RequestClassStats type = a.call.type;
            n += type != of && now - a.sentAt > type.rules.latencyObjective() ? 1 : 0;
        }
        return n;
    }

    void reported(HostState h, double now, LoadReport report, boolean typical) {
        if (report == null || Double.isNaN(report.outstanding())) {
            return;
        }
        h.report = report;
        h.reportAt = now;
        h.sentSinceReport = 0;
        double weight = Math.max(0.02, 1 - Math.exp(-(now - anyReportAt) / reportFade));
        meanHeld +=
                typical ? weight * (report.outstanding() - meanHeld) : 0; // one that turns away is idle, others are not
        anyReportAt = now;
    }

    /** How slow its kind is against the mean; 1 while nothing is known of it. */
    double kindSlowness(HostState h) {
        MachineKindStats k = kinds.get(h.kind);
        return k == null ? 1 : k.slowness;
    }

    /** How slow it is against the mean; fades to its kind's, or one slow start told for ever. */
    double slowness(HostState h, double now) {
        double prior = kindSlowness(h);
        return prior + (h.slowness - prior) * Math.exp(-(now - h.lastSample) / Tuning.SLOWNESS_FADE);
    }

    /** Expected wait in units of the mean answer time; decides between equal counts only. */
    double expectedWait(HostState h, double now) {
        double slow = slowness(h, now);
        double held = meanHeld;
        double fresh = Math.exp(-(now - h.reportAt) / reportFade);
        if (fresh > 0.01) {
            held += fresh * (h.report.outstanding() + h.sentSinceReport - meanHeld);
        }
        return slow * (Tuning.REPORT_BASE + held);
    }
}
