package rillyard.balancer;

/** Limits the requests to a host whose process has just started by an allowance that grows with the host's capacity. */
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

    /** Returns whether the host is still warming up. */
    boolean isWarmingUp(HostState host, double nowMillis) {
        return capacity(host, nowMillis) < 1;
    }

    /** Returns the minimum fraction of its full capacity that the host has at this time, 1 once it has warmed up. */
    private double capacity(HostState host, double nowMillis) {
        double ageMillis = nowMillis - host.startedAtMillis();
        if (host.startedAtMillis() <= 0 || ageMillis >= rules.warmUpMillis()) {
            return 1;
        }
        return rules.initialCapacity() + (1 - rules.initialCapacity()) * Math.max(0, ageMillis) / rules.warmUpMillis();
    }

    /**
     * Returns whether the host may get a request. A host that is warming up earns a fraction of what each of {@code
     * hostCount} hosts is served on average, so that all proxies together stay below the overload multiple in the
     * settings. The allowance accumulated so far is discarded when many of the other hosts are removed, as all proxies
     * would use theirs at once.
     */
    boolean permits(HostState host, int hostCount, double nowMillis) {
        if (!isWarmingUp(host, nowMillis)) {
            return true;
        }
        double servedPerHost = admission.servedRate(nowMillis) / servingHosts(hostCount, nowMillis);
        SlowStartAllowance allowance = host.slowStart();
        boolean manyRemoved = hosts.manyRemovedAtMillis() >= allowance.updatedAtMillis();
        double earned = Tuning.SLOW_START_SHARE
                * rules.overloadMultiple()
                * capacity(host, nowMillis)
                * servedPerHost
                * allowance.millisSinceUpdate(nowMillis)
                / Math.max(1, load.kindSlowness(host)); // fewer requests overload a slow kind
        allowance.add(nowMillis, earned, 1 + servedPerHost * rules.overloadWindowMillis() / 2);
        if (manyRemoved) {
            allowance.discardAccumulated();
        }
        return allowance.requests() >= 1;
    }

    /**
     * Returns the number of hosts over which the served rate was distributed, of which {@code hostCount} remain. If
     * most hosts have been removed, it is unknown whether the remaining ones, some of them cold, can serve the load of
     * all.
     */
    private double servingHosts(int hostCount, double nowMillis) {
        double recentlyReady = Tuning.MIN_READY_FRACTION * hosts.recentReadyCount(nowMillis);
        return Math.max(1, hostCount)
                * Math.max(1, recentlyReady / Math.max(1, hosts.ready().size()));
    }

    /** Deducts a request that is sent to the host from the host's allowance, if the host is warming up. */
    void onSend(HostState host, double nowMillis) {
        if (isWarmingUp(host, nowMillis)) {
            host.slowStart().take();
        }
    }
}
