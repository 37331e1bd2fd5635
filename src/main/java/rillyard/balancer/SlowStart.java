package rillyard.balancer;

/** Slow start: limits the requests to a host whose process has just started, by an allowance that grows with its capacity. */
final class SlowStart {
    private final Settings.Rules rules;
    private final HostSet hosts;
    private final AdmissionController admission;
    private final LoadEstimator load;

    SlowStart(Settings.Rules rules, HostSet hosts, AdmissionController admission, LoadEstimator load) {
        this.rules = rules;
        this.hosts = hosts;
        this.admission = admission;
        this.load = load;
    }

    /** Whether the host is still warming up. */
    boolean isWarmingUp(HostState host, double nowMillis) {
        return capacity(host, nowMillis) < 1;
    }

    /** Returns the least part of its full capacity that the host has by now, 1 once it is warm. */
    private double capacity(HostState host, double nowMillis) {
        double age = nowMillis - host.startedAtMillis();
        if (host.startedAtMillis() <= 0 || age >= rules.warmUpMillis()) {
            return 1;
        }
        return rules.initialCapacity() + (1 - rules.initialCapacity()) * Math.max(0, age) / rules.warmUpMillis();
    }

    /**
     * Whether the host may get a request. A host that is warming up earns a part of what each of {@code hostCount} hosts is
     * served on average, so that all proxies together stay below the overload multiple that the settings permit. What was
     * saved up beside other hosts is forfeited when many of these leave, as all proxies would spend it at once.
     */
    boolean permits(HostState host, int hostCount, double nowMillis) {
        if (!isWarmingUp(host, nowMillis)) {
            return true;
        }
        double servedPerHost = admission.servedRate(nowMillis) / servingHosts(hostCount, nowMillis);
        SlowStartAllowance allowance = host.slowStart();
        boolean haveManyLeft = hosts.manyLeftAtMillis() >= allowance.updatedAtMillis();
        double earned = Tuning.SLOW_START_SHARE
                * rules.overloadMultiple()
                * capacity(host, nowMillis)
                * servedPerHost
                * allowance.millisSinceUpdate(nowMillis)
                / Math.max(1, load.kindSlowness(host)); // a slow kind is overloaded by less
        allowance.add(nowMillis, earned, 1 + servedPerHost * rules.overloadWindowMillis() / 2);
        if (haveManyLeft) {
            allowance.forfeitSaved();
        }
        return allowance.requests() >= 1;
    }

    /**
     * Returns over how many hosts the served rate was spread, of which {@code hostCount} are left. Where most hosts have left,
     * those that remain, cold ones among them, have not shown that they can serve what all of them were served.
     */
    private double servingHosts(int hostCount, double nowMillis) {
        double recentlyReady = Tuning.MIN_READY_FRACTION * hosts.recentReadyCount(nowMillis);
        return Math.max(1, hostCount)
                * Math.max(1, recentlyReady / Math.max(1, hosts.ready().size()));
    }

    /** Takes the request that is sent to the host from its allowance, if it is warming up. */
    void onSend(HostState host, double nowMillis) {
        if (isWarmingUp(host, nowMillis)) {
            host.slowStart().take();
        }
    }
}
