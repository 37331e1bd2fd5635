package rillyard.balancer;

import java.util.HashMap;
import java.util.Map;

/** Estimates the speed and the queue of each host from the latency of its responses and from its load reports. */
final class LoadEstimator {
    /** Maximum relative latency that a response counts for: a pause of the host is no evidence of its speed. */
    private static final double MAX_RELATIVE_LATENCY = 8;

    /** Number of responses with mean latency that are assumed before a host's first response. */
    private static final int HOST_PRIOR_SAMPLES = 2;

    /** Number of responses with mean latency that are assumed before the first response of a machine kind. */
    private static final int KIND_PRIOR_SAMPLES = 4;

    /** Weight of a response in the slowness of a machine kind, which gets more responses than a single host. */
    private static final double KIND_SAMPLE_WEIGHT = Tuning.SAMPLE_WEIGHT / 2;

    /** Minimum weight of a load report in the mean over all hosts, for reports in quick succession. */
    private static final double MIN_REPORT_WEIGHT = 0.02;

    /** Freshness up to which a load report is ignored in comparisons. */
    private static final double MIN_FRESHNESS = 0.01;

    private final Map<String, MachineKindStats> statsByKind = new HashMap<>();
    private final double reportDecayMillis;
    private final MovingAverage meanOutstanding = new MovingAverage(0);
    private double lastReportAtMillis = Double.NEGATIVE_INFINITY;

    LoadEstimator(Settings settings) {
        this.reportDecayMillis = Tuning.REPORT_DECAY_OBJECTIVES * settings.meanLatencyObjectiveMillis();
    }

    /** Records a response that took {@code relativeLatency} times the mean latency of its class. */
    void onResponse(HostState host, double nowMillis, double relativeLatency) {
        double capped = Math.min(relativeLatency, MAX_RELATIVE_LATENCY);
        HostLoad load = host.load();
        // The first responses weigh more: otherwise a proxy with few requests would need a minute for an estimate.
        double weight = Math.max(Tuning.SAMPLE_WEIGHT, 1.0 / (load.countSample() + HOST_PRIOR_SAMPLES));
        load.slowness().add(nowMillis, kindSlowness(host), capped, weight);
        MachineKindStats kind = kindOf(host);
        double kindWeight = Math.max(KIND_SAMPLE_WEIGHT, 1.0 / (kind.countSample() + KIND_PRIOR_SAMPLES));
        kind.slowness().add(capped, kindWeight);
    }

    /**
     * Updates the time that hosts of this kind take per outstanding request, from a response that waited in a queue.
     */
    void onQueuedResponse(HostState host, double outstandingAtSend, double latencyMillis) {
        double outstanding = Double.isNaN(outstandingAtSend) ? host.load().reportedOutstanding() : outstandingAtSend;
        if (outstanding >= Tuning.MIN_QUEUE_OUTSTANDING) {
            // A median, as a few expensive requests don't indicate how long the next one takes.
            kindOf(host).millisPerRequest().add(latencyMillis / (outstanding + 1));
        }
    }

    private MachineKindStats kindOf(HostState host) {
        return statsByKind.computeIfAbsent(host.machineKind(), name -> new MachineKindStats(Tuning.QUEUE_MEDIAN_STEP));
    }

    /**
     * Records a load report, null for none. A report that is not {@code typical} is left out of the mean over all
     * hosts.
     */
    void onReport(HostState host, double nowMillis, LoadReport report, boolean typical) {
        if (report == null || Double.isNaN(report.outstanding())) {
            return;
        }
        host.load().recordReport(report, nowMillis);
        if (typical) {
            double weight =
                    Math.max(MIN_REPORT_WEIGHT, 1 - Math.exp(-(nowMillis - lastReportAtMillis) / reportDecayMillis));
            meanOutstanding.add(report.outstanding(), weight);
        }
        lastReportAtMillis = nowMillis;
    }

    /**
     * Returns the host's outstanding requests by a recent report plus the requests sent since, NaN without a recent
     * report.
     */
    double outstandingNow(HostState host, double nowMillis) {
        HostLoad load = host.load();
        return nowMillis - load.reportedAtMillis() <= Tuning.FRESH_REPORT_MILLIS ? load.knownOutstanding() : Double.NaN;
    }

    /**
     * Returns the time (ms) the host's queue is expected to take, 0 if there is no evidence of a queue.
     *
     * <p>A reported queue counts for no longer than it takes to drain, as requests that are rejected because of it
     * bring no newer report. What remains decays, so that requests without a response don't count as a queue for ever.
     * The host holds at least this proxy's attempts in flight that are not lost. Limit: a queue that lasts for several
     * latency objectives without any response is underestimated.
     */
    double expectedLatency(HostState host, double nowMillis) {
        double millisPerRequest = kindOf(host).millisPerRequest().value();
        if (millisPerRequest == 0) {
            return 0;
        }
        HostLoad load = host.load();
        double freshness = freshness(load, nowMillis);
        double typical = meanOutstanding.value() * Math.exp(-(nowMillis - lastReportAtMillis) / reportDecayMillis);
        double undrained = load.reportedOutstanding() - (nowMillis - load.reportedAtMillis()) / millisPerRequest;
        double reported = freshness == 0 ? 0 : Math.max(Math.min(load.reportedOutstanding(), typical), undrained);
        double outstanding = Math.max(
                host.inFlight() - OutlierDetector.lostAttempts(host, null, nowMillis),
                freshness * (reported + load.sentSinceReport()) + (1 - freshness) * typical);
        return outstanding > Tuning.MIN_QUEUE_OUTSTANDING ? millisPerRequest * (outstanding + 1) : 0;
    }

    private double freshness(HostLoad load, double nowMillis) {
        return Math.exp(-(nowMillis - load.reportedAtMillis()) / reportDecayMillis);
    }

    /** Returns the latency of the host's machine kind relative to the mean, 1 while it is unknown. */
    double kindSlowness(HostState host) {
        return kindOf(host).slowness().value();
    }

    /**
     * Returns the host's latency relative to the mean. Without new responses it decays to that of the host's machine
     * kind.
     */
    double slowness(HostState host, double nowMillis) {
        return host.load().slowness().valueAt(nowMillis, kindSlowness(host));
    }

    /**
     * Returns the expected wait at the host in units of the mean latency, to compare hosts with equal numbers of
     * requests.
     */
    double expectedWait(HostState host, double nowMillis) {
        double outstanding = meanOutstanding.value();
        double freshness = freshness(host.load(), nowMillis);
        if (freshness > MIN_FRESHNESS) {
            outstanding += freshness * (host.load().knownOutstanding() - meanOutstanding.value());
        }
        return slowness(host, nowMillis) * (Tuning.BASE_OUTSTANDING + outstanding);
    }
}
