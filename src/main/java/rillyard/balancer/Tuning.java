package rillyard.balancer;

/**
 * The constants of the decisions, each with its reason; none is fitted to one deployment. {@code ...MILLIS} are times in ms,
 * {@code ...OBJECTIVES} times as multiples of the mean latency objective.
 */
final class Tuning {
    private Tuning() {}

    /** The least number of hosts compared: two suffice in theory, more as the counts of proxies with few requests tie. */
    static final int MIN_CANDIDATES = 4;

    static final int MAX_CANDIDATES = 6; // the most for one of many proxies, more would herd them onto the same hosts

    /** Candidates of all proxies together that cause no herd: few proxies compare more hosts each. */
    static final int FLEET_CANDIDATES = 16;

    /** Subset size of a proxy without load: enough to lose a fifth of the hosts and still have a choice. */
    static final int BASE_SUBSET_SIZE = 6;

    /** Subset hosts per own request in flight at the recent peak: 3 had each proxy connect to nearly all hosts. */
    static final double SUBSET_HOSTS_PER_IN_FLIGHT = 1;

    /** The most proxies that may share a host, where subsets can be kept so small. */
    static final double MAX_PROXIES_PER_HOST = 60;

    /** Decay of the peak of own requests in flight: long, as a subset that shrinks costs connections. */
    static final double PEAK_DECAY_MILLIS = 15_000;

    /** Weight of a new sample in averages: about the last ten answers count. */
    static final double SAMPLE_WEIGHT = 0.1;

    /** Decay of a host's own slowness towards that of its machine kind. */
    static final double SLOWNESS_DECAY_MILLIS = 10_000;

    /** Relative difference within which expected waits tie and chance decides, which avoids herds. */
    static final double WAIT_TIE_TOLERANCE = 0.1;

    /** Decay of a load report: a queue lasts about as long as a latency objective. */
    static final double REPORT_DECAY_OBJECTIVES = 3;

    /** Requests a host is taken to serve without a queue, when expected waits are compared. */
    static final double BASE_OUTSTANDING = 4;

    /** The least time without an answer that makes a host unresponsive: shorter ones are pauses and jitter. */
    static final double MIN_UNRESPONSIVE_MILLIS = 40;

    /** Consecutive failures that eject a host. */
    static final int EJECTION_FAILURES = 3;

    /** Length of the first ejection, doubled with each further one. */
    static final double BASE_EJECTION_OBJECTIVES = 2.5;

    static final double MAX_EJECTION_OBJECTIVES = 20; // the greatest length of an ejection

    static final double EJECTION_RESET_OBJECTIVES = 75; // without an ejection, until the backoff starts anew

    /** Fraction of the hosts from which on no further one is ejected. */
    static final double MAX_EJECTED_FRACTION = 0.3;

    /** Requests that one failure adds to a host's count, so that quick errors do not make it look idle. */
    static final double FAILURE_PENALTY = 2;

    static final double PENALTY_DECAY_OBJECTIVES = 5; // decay of that penalty

    /** Requests added to the count of a host that loses all of a class: about the queue that takes an objective. */
    static final double FAILURE_RATE_PENALTY = 10;

    static final double FAILURE_RATE_DECAY_OBJECTIVES = 20; // decay of that rate, as long as the longest ejection

    /** Fraction of the overload multiple that all proxies together may use on a host that warms up. */
    static final double SLOW_START_SHARE = 0.5;

    /**
     * Fraction of the recent number of hosts down to which the hosts that left are taken for a release in steps. The reserve of
     * {@link #SLOW_START_SHARE} bears these; with more gone, what one host was served is no longer known from those left.
     */
    static final double MIN_READY_FRACTION = 0.75;

    /**
     * Decay of the peak of ready hosts, in warm-up times: a host that starts as the others leave is granted no more than the
     * rule allows until it is warm, as {@code SLOW_START_SHARE / MIN_READY_FRACTION * exp(1 / 4)} is below 1.
     */
    static final double READY_PEAK_DECAY_WARM_UPS = 4;

    /** The least fraction taken to be served: else a fleet that fails while it warms up would not be tried again. */
    static final double MIN_SERVED_FRACTION = 0.05;

    /** Decay of the proxy's own arrival rate. */
    static final double RATE_DECAY_MILLIS = 3_000;

    static final double MIN_RATE_WINDOW_MILLIS = 1_000; // the least time over which it is taken

    /** Retries earned by each request. */
    static final double RETRIES_PER_REQUEST = 0.2;

    static final double MAX_RETRY_TOKENS = 10; // the most that can be saved up

    /** Time without a request after which the next one may be retried: so few requests feed no overload. */
    static final double RETRY_QUIET_MILLIS = 30_000;

    /** An attempt is overdue this many mean deviations past the mean latency of its class. */
    static final double OVERDUE_DEVIATIONS = 5;

    /** Reserve of the idempotency window for clocks and queues on the way. */
    static final double IDEMPOTENCY_MARGIN_MILLIS = 20;

    /** Time before the client's deadline from which on nothing new is started. */
    static final double MIN_REMAINING_MILLIS = 5;

    /** Requests a host must hold to have a queue; how long it lasts is learned by machine kind. */
    static final double MIN_QUEUE_OUTSTANDING = 4;

    static final double QUEUE_MEDIAN_STEP = 0.05; // by which each answer moves the median time per request held

    /** Fraction of the remaining objective past which an expected latency is too late to begin. */
    static final double MAX_WAIT_FRACTION = 0.55;

    /** Pressure from which hosts of other zones are candidates as well. */
    static final double SPILL_PRESSURE = 0.35;

    /** Pressure (latency relative to the objective) from which load is shed. */
    static final double SHED_PRESSURE = 0.5;

    static final double SHED_PRESSURE_SPAN = 0.6; // above it, to shed all of mean priority

    /** The greatest fraction shed: the rest finds out when the overload is over. */
    static final double MAX_SHED_PROBABILITY = 0.9;

    /** How long one random value decides on shedding: immediate retries meet the same decision. */
    static final double SHED_SLOT_OBJECTIVES = 0.05;

    /** The fractional part of the golden ratio: steps of it spread evenly over a unit, however many are taken. */
    static final double GOLDEN_RATIO_STEP = 0.6180339887;

    /** With fewer than one answer in a tenth of this time, each one weighs more. */
    static final double PRESSURE_WINDOW_OBJECTIVES = 7.5;

    /** Pressure from which requests are shed that are too late for their objective already. */
    static final double SHED_LATE_PRESSURE = 0.3;

    static final double SHED_LATE_OBJECTIVES = 5; // for so long after the rejection of a request in time

    /** Fraction of a first attempt's time below which a request is taken for a client's retry. */
    static final double RETRY_DEADLINE_FRACTION = 0.9;

    static final double DEADLINE_SAMPLE_WEIGHT = 0.02; // of each request, when that time gets less

    /** Decay of pressure while no answers come: queues drain slowly. */
    static final double PRESSURE_DECAY_OBJECTIVES = 25;

    /** Decay of the tenants' parts of the traffic. */
    static final double QUOTA_DECAY_MILLIS = 10_000;

    /** Requests assumed to have come in proportion to the quotas: a few arrivals prove nothing. */
    static final double QUOTA_PRIOR_REQUESTS = 8;

    /** The least fraction of the permitted expected latency that a tenant far over its quota may still use. */
    static final double MIN_QUOTA_WAIT_WEIGHT = 0.4;

    /** Age up to which a report tells what the host held when a request was sent to it. */
    static final double FRESH_REPORT_MILLIS = 20;

    /** First backoff before discovery is asked again, doubled each time; each with jitter of one half. */
    static final double BASE_SUBSCRIBE_BACKOFF_MILLIS = 500;

    static final double MAX_SUBSCRIBE_BACKOFF_MILLIS = 1_400; // with connect and answer below the 6 s of a change
}
