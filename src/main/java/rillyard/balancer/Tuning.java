package rillyard.balancer;

/** Every constant of the module, with its reason. None is fitted to one deployment. */
final class Tuning {
    private Tuning() {}

    /** The least number of candidates drawn: two for the paper, more as light proxies' counts tie. */
    static final int MIN_CHOICES = 4;

    /** The most of many proxies: more would herd them onto the same few hosts. */
    static final int MAX_CHOICES = 6;

    /** Candidates of all proxies together that herd nobody: few proxies draw more of them each. */
    static final int HERD = 16;

    /** Hosts in the pool of a proxy with no load; enough to lose a fifth of them and still choose. */
    static final int BASE_POOL = 6;

    /** Pool hosts for each own request in flight at its recent peak, so counts stay mostly small. */
    static final double POOL_PER_IN_FLIGHT = 1; // 3 had each proxy connect to nearly all hosts

    /** The most proxies that may share a host where pools can be kept so small. */
    static final double HOST_PROXIES = 60;

    /** How long (ms) the peak of own requests in flight is remembered; shrinking pools costs. */
    static final double PEAK_MEMORY = 15_000;

    /** Smoothing of latency figures by sample: about the last ten answers. */
    static final double LATENCY_ALPHA = 0.1;

    /** Time constant (ms) at which a host's own latency fades towards that of its kind. */
    static final double SLOWNESS_FADE = 10_000;

    /** Two expected waits closer than this part are equal, and chance decides: avoids herding. */
    static final double WAIT_TIE = 0.1;

    /** Time constant, in aims, at which a load report fades: a queue lasts about as long as an aim. */
    static final double REPORT_FADE = 3;

    /** Requests a host is taken to hold without queueing, when reports are weighed. */
    static final double REPORT_BASE = 4;

    /** Silence shorter than this (ms) is never held against a host: pauses and jitter. */
    static final double SILENCE_FLOOR = 40;

    /** Failures in a row that eject a host. */
    static final int FAILURES_IN_A_ROW = 3;

    /** First ejection, in aims, doubled each time up to the last. */
    static final double EJECT_BASE = 2.5;

    static final double EJECT_MAX = 20;

    /** After this time, in aims, without an ejection the back-off starts anew. */
    static final double EJECT_FORGET = 75;

    /** Part of the hosts past which no further one is ejected. */
    static final double EJECT_PART = 0.3;

    /** What one failure adds to a host's count, so that fast errors do not make it look idle. */
    static final double FAILURE_CHARGE = 2;

    /** Time constant, in aims, at which that charge decays. */
    static final double CHARGE_FADE = 5;

    /** What a host that loses all of a class counts more for it: about the queue that takes an aim. */
    static final double LOSS_CHARGE = 10;

    /** Time constant, in aims, at which a host's losses of a class are forgotten, as ejections are. */
    static final double LOSS_FADE = 20;

    /** Part of the fall multiple that all proxies together may use on a cold host. */
    static final double COLD_SHARE = 0.5;

    /** The least part taken to be served: or a cold fleet that fails once would never be tried. */
    static final double LEAST_SERVED = 0.05;

    /** Time constant (ms) of the proxy's own arrival rate. */
    static final double RATE_MEMORY = 3_000;

    static final double RATE_LEAST = 1_000; // the least time (ms) over which it is taken

    /** Retries earned by each request, and the most that can be saved up. */
    static final double RETRY_RATIO = 0.2;

    static final double RETRY_SAVINGS = 10;

    /** An attempt is overdue this many mean deviations past the mean answer time of its class. */
    static final double OVERDUE_DEVIATIONS = 5;

    /** Time (ms) kept back from a repeat window for clocks and queues on the way. */
    static final double WINDOW_MARGIN = 20;

    /** Time (ms) before the client's own deadline below which nothing new is started. */
    static final double LAST_SEND = 5;

    /** A report of at least this many requests held may tell of a queue; how long, is learned by kind. */
    static final double QUEUE_SEEN = 4;

    /** Part by which each answer moves the median time per request held. */
    static final double QUEUE_STEP = 0.05;

    /** Part of the aim past which the expected answer of the winner is too late to begin. */
    static final double REFUSE_AT = 0.55;

    /** Pressure at which hosts of other zones are drawn from as well. */
    static final double SPILL_FROM = 0.35;

    /** Pressure (answer time as part of the aim) at which early refusal begins. */
    static final double REFUSE_FROM = 0.5;

    /** Pressure above that at which everything of mean worth would be refused. */
    static final double REFUSE_SPAN = 0.6;

    /** The most of a mean class that is refused: the rest finds out when the jam is over. */
    static final double REFUSE_MOST = 0.9;

    /** How long, in aims, one draw of chance decides on refusals: retries at once meet the same. */
    static final double REFUSE_SLOT = 0.05;

    /** Steps of this part of a turn fall evenly, however many are taken. */
    static final double GOLDEN = 0.6180339887;

    /** A proxy with fewer answers than one in a tenth of this time (in aims) weighs each one more. */
    static final double PRESSURE_MEMORY = 7.5;

    /** Pressure from which requests are refused that can't be answered within their aim any more. */
    static final double REFUSE_LATE_FROM = 0.3;

    /** How long, in aims, they are refused after one was that is still of use: until room is sure. */
    static final double REFUSE_LATE_FOR = 5;

    /** A budget under this part of what first tries bring is what is left of the client's time. */
    static final double RETRY_BUDGET = 0.9;

    /** Part by which each request draws the budget of first tries down, so that a change is learned. */
    static final double BUDGET_ALPHA = 0.02;

    /** Time constant, in aims, at which pressure fades when no answers come: queues drain slowly. */
    static final double PRESSURE_FADE = 25;

    /** Time constant (ms) of tenants' parts of the own traffic. */
    static final double SHARE_MEMORY = 10_000;

    /** Requests taken to have come by portion before any is counted: a few arrivals prove nothing. */
    static final double SHARE_PRIOR = 8;

    /** The least part of the allowed queue that a tenant far over its share may still use. */
    static final double LEAST_STANDING = 0.4;

    /** A report younger than this (ms) tells what the host held when a request was sent to it. */
    static final double REPORT_FRESH = 20;

    /** First wait (ms) before discovery is asked again, doubled up to the most, both at chance by half. */
    static final double FOLLOW_BACKOFF = 500;

    static final double FOLLOW_MOST = 1_400; // with the connect and the answer's time under the 6 s of a change
}
