package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;

/** Builds settings, hosts and requests for tests, and records the actions that a balancer requests. */
final class BalancerFixture implements BalancerActions {
    record Send(long requestId, int attempt, long host, double atMillis) {}

    double nowMillis = 1_000;
    final List<Send> sends = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final java.util.TreeMap<Double, List<Long>> timers = new java.util.TreeMap<>(); // tokens by due time (ms)
    int subscriptions;
    private final java.util.Map<Long, Integer> attemptCounts = new java.util.HashMap<>();

    static Settings.RequestClass requestClass(String name, Settings.Semantics semantics, Settings.Scope scope) {
        return new Settings.RequestClass(name, 400, 800, semantics, scope, 300, 1, 0);
    }

    static Settings settings(Settings.RequestClass... classes) {
        return settings(true, 4, false, classes);
    }

    static Settings settings(
            boolean parallelAttempts, int maxAttempts, boolean mustSubscribe, Settings.RequestClass... classes) {
        return settings(List.of(), parallelAttempts, maxAttempts, mustSubscribe, classes);
    }

    static Settings settings(List<Settings.Tenant> tenants, Settings.RequestClass requestClass) {
        return settings(tenants, true, 4, false, requestClass);
    }

    private static Settings settings(
            List<Settings.Tenant> tenants,
            boolean parallelAttempts,
            int maxAttempts,
            boolean mustSubscribe,
            Settings.RequestClass... classes) {
        return new Settings(
                List.of(classes),
                tenants,
                new Settings.Limits(true, parallelAttempts, maxAttempts),
                new Settings.Rules(8_000, 0.3, 1_500, 3, 10_000),
                mustSubscribe,
                "a",
                0,
                1,
                0.1);
    }

    static EndpointEntry host(long id) {
        return host(id, EndpointEntry.Condition.READY, 0);
    }

    static EndpointEntry host(long id, EndpointEntry.Condition condition, double startedAtMillis) {
        return new EndpointEntry(id, id % 5 == 4 ? "b" : "a", "k" + id % 2, id / 4, condition, startedAtMillis);
    }

    static List<EndpointEntry> hosts(int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int id = 0; id < count; id++) {
            entries.add(host(id));
        }
        return entries;
    }

    static IncomingRequest request(long id, String requestClass, double remainingMillis) {
        return new IncomingRequest(id, requestClass, null, remainingMillis);
    }

    /** Returns a load report that contains nothing but the number of requests the host holds. */
    static LoadReport reportOf(double outstanding) {
        return new LoadReport(outstanding, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(long requestId, long hostId, double timeoutMillis, double notAfterMillis) {
        sends.add(new Send(requestId, attemptCounts.merge(requestId, 1, Integer::sum) - 1, hostId, nowMillis));
    }

    @Override
    public void reject(long requestId, double retryAfterMillis) {
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId);
    }

    @Override
    public void scheduleTimer(double delayMillis, long token) {
        timers.computeIfAbsent(nowMillis + delayMillis, time -> new ArrayList<>())
                .add(token);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void log(String line) {
        logs.add(line);
    }
}
