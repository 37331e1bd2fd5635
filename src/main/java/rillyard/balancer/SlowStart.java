package rillyard.balancer;

/** Slow start: limits the requests to a host whose process has just started, by an allowance that grows with its capacity. */
final class SlowStart {
    private final Settings.Rules rules;
    private final AdmissionController admission;
    private final LoadEstimator load;

    SlowStart(Settings.Rules rules, AdmissionController admission, LoadEstimator load) {
        this.rules = rules;
        this.admission = admission;
        this.load = load;
    }

    /** Whether the host is still warming up. */
    boolean isWarmingUp(HostState host, double nowMillis) {
        return capacity(host, nowMillis) < 1;
    }

    /** Returns the least part of its full capacity that the host has by now, 1 once it is warm. */
    private double capacity(HostState host, double nowMillis) {
        double age = nowMillis - host.onlineSince();
        if (host.onlineSince() <= 0 || age >= rules.warmUpMillis()) {
            return 1;
        }
        return rules.initialCapacity() + (1 - rules.initialCapacity()) * Math.max(0, age) / rules.warmUpMillis();
    }

    /**
     * Whether the host may get a request. A host that is warming up earns a part of what each of {@code hostCount} hosts is
     * served on average, so that all proxies together stay below the overload multiple that the settings permit.
     */
    boolean permits(HostState host, int hostCount, double nowMillis) {
        if (!isWarmingUp(host, nowMillis)) {
            return true;
        }
        double servedPerHost = admission.servedRate(nowMillis) / Math.max(1, hostCount);
        SlowStartAllowance allowance = host.slowStart();
        double earned = Tuning.SLOW_START_SHARE
                * rules.overloadMultiple()
                * capacity(host, nowMillis)
                * servedPerHost
                * allowance.millisSinceUpdate(nowMillis)
                / Math.max(1, load.kindSlowness(host)); // a slow kind is overloaded by less
        allowance.add(nowMillis, earned, 1 + servedPerHost * rules.overloadWindowMillis() / 2);
        return allowance.requests() >= 1;
    }

    /** Takes the request that is sent to the host from its allowance, if it is warming up. */
    void onSend(HostState host, double nowMillis) {
        if (isWarmingUp(host, nowMillis)) {
            host.slowStart().take();
        }
    }
}
