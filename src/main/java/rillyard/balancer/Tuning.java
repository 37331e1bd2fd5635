package rillyard.balancer;

/**
 * The constants of the balancing decisions, with their reasons. They are not specific to one deployment. {@code
 * ...MILLIS} are times in ms, {@code ...OBJECTIVES} are times in multiples of the mean latency objective.
 */
final class Tuning {
    private Tuning() {}

    /**
     * Minimum number of hosts compared. Two suffice in theory; more are needed because the counts of proxies with few
     * requests are often tied.
     */
    static final int MIN_CANDIDATES = 4;

    static final int MAX_CANDIDATES = 6; // for one of many proxies: with more, they would all send to the same hosts

    /**
     * Candidates of all proxies together that cause no concentration on the same hosts; with few proxies, each compares
     * more hosts.
     */
    static final int FLEET_CANDIDATES = 16;

    /** Subset size of a proxy without load: large enough to lose a fifth of the hosts and still have a choice. */
    static final int BASE_SUBSET_SIZE = 6;

    /**
     * Subset hosts per request of this proxy in flight at the recent peak; with 3, each proxy connected to nearly all
     * hosts.
     */
    static final double SUBSET_HOSTS_PER_IN_FLIGHT = 1;

    /** Maximum number of proxies that share a host, where subsets can be kept small enough. */
    static final double MAX_PROXIES_PER_HOST = 60;

    /**
     * Decay of the peak of this proxy's requests in flight; it is slow because a shrinking subset costs connections.
     */
    static final double PEAK_DECAY_MILLIS = 15_000;

    /** Weight of a new sample in averages, which cover about the last ten responses. */
    static final double SAMPLE_WEIGHT = 0.1;

    /** Decay of a host's own slowness towards that of its machine kind. */
    static final double SLOWNESS_DECAY_MILLIS = 10_000;

    /**
     * Relative difference within which expected waits are tied and the choice is random, so that proxies don't
     * concentrate on one host.
     */
    static final double WAIT_TIE_TOLERANCE = 0.1;

    /** Decay of a load report; a queue lasts about as long as a latency objective. */
    static final double REPORT_DECAY_OBJECTIVES = 3;

    /** Requests a host is assumed to serve without a queue when expected waits are compared. */
    static final double BASE_OUTSTANDING = 4;

    /** Minimum time without a response that makes a host unresponsive; shorter gaps are pauses and jitter. */
    static final double MIN_UNRESPONSIVE_MILLIS = 40;

    /** Consecutive failures that eject a host. */
    static final int EJECTION_FAILURES = 3;

    /** Length of the first ejection, doubled with each further one. */
    static final double BASE_EJECTION_OBJECTIVES = 2.5;

    static final double MAX_EJECTION_OBJECTIVES = 20; // maximum length of an ejection

    static final double EJECTION_RESET_OBJECTIVES = 75; // time without an ejection that resets the backoff

    /** Fraction of ejected hosts from which on no further host is ejected. */
    static final double MAX_EJECTED_FRACTION = 0.3;

    /** Requests that one failure adds to a host's count, so that quick errors don't make the host look idle. */
    static final double FAILURE_PENALTY = 2;

    static final double PENALTY_DECAY_OBJECTIVES = 5; // decay of that penalty

    /**
     * Requests added to the count of a host that loses all requests of a class: about the queue that takes one
     * objective.
     */
    static final double FAILURE_RATE_PENALTY = 10;

    static final double FAILURE_RATE_DECAY_OBJECTIVES = 20; // decay of that rate, as long as the longest ejection

    /** Fraction of the overload multiple that all proxies together may use on a host that is warming up. */
    static final double SLOW_START_SHARE = 0.5;

    /**
     * Fraction of the recent number of hosts down to which removed hosts are attributed to a release in steps. The
     * reserve of {@link #SLOW_START_SHARE} covers these. If more hosts are removed, the load that one host was serving
     * can't be inferred from the remaining hosts.
     */
    static final double MIN_READY_FRACTION = 0.75;

    /**
     * Decay of the peak of ready hosts, in warm-up times. A host that starts while the others are removed gets no more
     * than the overload rule allows until it is warm, as {@code SLOW_START_SHARE / MIN_READY_FRACTION * exp(1 / 4)} is
     * below 1.
     */
    static final double READY_PEAK_DECAY_WARM_UPS = 4;

    /**
     * Minimum fraction of requests assumed to be served; otherwise a fleet that fails while warming up would get no
     * further requests.
     */
    static final double MIN_SERVED_FRACTION = 0.05;

    /** Decay of the proxy's own arrival rate. */
    static final double RATE_DECAY_MILLIS = 3_000;

    static final double MIN_RATE_WINDOW_MILLIS = 1_000; // minimum time over which that rate is averaged

    /** Retry tokens earned by each request. */
    static final double RETRIES_PER_REQUEST = 0.2;

    static final double MAX_RETRY_TOKENS = 10; // maximum that can accumulate

    /** Time without a request after which the next one may be retried; so few requests can't increase an overload. */
    static final double RETRY_QUIET_MILLIS = 30_000;

    /** Number of mean deviations above the mean latency of its class at which an attempt is overdue. */
    static final double OVERDUE_DEVIATIONS = 5;

    /** Part of the idempotency window reserved for clock differences and for queues on the way to the host. */
    static final double IDEMPOTENCY_MARGIN_MILLIS = 20;

    /** Time before the client's deadline from which on no attempt is started. */
    static final double MIN_REMAINING_MILLIS = 5;

    /** Requests a host must hold to have a queue; the time per request is estimated by machine kind. */
    static final double MIN_QUEUE_OUTSTANDING = 4;

    static final double QUEUE_MEDIAN_STEP = 0.05; // relative, of the median time per outstanding request

    /** Fraction of the remaining objective above which an expected latency is too long to start an attempt. */
    static final double MAX_WAIT_FRACTION = 0.55;

    /** Latency pressure above which hosts of other zones are candidates as well. */
    static final double SPILL_PRESSURE = 0.35;

    /** Latency pressure (latency relative to the objective) above which load is shed. */
    static final double SHED_PRESSURE = 0.5;

    static final double SHED_PRESSURE_SPAN = 0.6; // excess at which all requests of mean priority would be shed

    /** Maximum fraction shed; the remaining requests are needed to detect the end of the overload. */
    static final double MAX_SHED_PROBABILITY = 0.9;

    /**
     * Duration of a time slot in which one random value decides on shedding, so that immediate retries meet the same
     * decision.
     */
    static final double SHED_SLOT_OBJECTIVES = 0.05;

    /**
     * The fractional part of the golden ratio. Steps of this length are spread evenly over a unit interval, however
     * many are taken.
     */
    static final double GOLDEN_RATIO_STEP = 0.6180339887;

    /** If responses are more than a tenth of this time apart, each one weighs more in the latency pressure. */
    static final double PRESSURE_WINDOW_OBJECTIVES = 7.5;

    /** Latency pressure above which requests are shed that are already too late for their objective. */
    static final double SHED_LATE_PRESSURE = 0.3;

    static final double SHED_LATE_OBJECTIVES = 5; // how long they are shed after a request in time was rejected

    /** Fraction of the time of first attempts below which a request is taken for a client's retry. */
    static final double RETRY_DEADLINE_FRACTION = 0.9;

    static final double DEADLINE_SAMPLE_WEIGHT = 0.02; // weight of a request when that time decreases

    /** Decay of the latency pressure while there are no responses; queues drain slowly. */
    static final double PRESSURE_DECAY_OBJECTIVES = 25;

    /** Decay of the tenants' shares of the traffic. */
    static final double QUOTA_DECAY_MILLIS = 10_000;

    /** Requests assumed to have arrived in proportion to the quotas, as a few arrivals are no evidence. */
    static final double QUOTA_PRIOR_REQUESTS = 8;

    /** Minimum fraction of the permitted expected latency for a tenant far over its quota. */
    static final double MIN_QUOTA_WAIT_WEIGHT = 0.4;

    /** Age up to which a load report is used for what the host held when a request was sent to it. */
    static final double FRESH_REPORT_MILLIS = 20;

    /**
     * First backoff before the next subscription to discovery, doubled after each failure; each has a jitter of one
     * half.
     */
    static final double BASE_SUBSCRIBE_BACKOFF_MILLIS = 500;

    /** With jitter, connect and response, it stays below the 6 s within which a change of the list must be seen. */
    static final double MAX_SUBSCRIBE_BACKOFF_MILLIS = 1_400;
}
