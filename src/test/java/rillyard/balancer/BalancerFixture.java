package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;

/** Builds settings and hosts for tests, and records what a balancer asks for. */
final class BalancerFixture implements BalancerActions {
    record Send(long request, int number, long host, double at) {}

    double now = 1_000;
    final List<Send> sends = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final java.util.TreeMap<Double, List<Long>> timers = new java.util.TreeMap<>();
    int subscriptions;
    private final java.util.Map<Long, Integer> numbers = new java.util.HashMap<>();

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

    static EndpointEntry host(long id, EndpointEntry.Condition condition, double since) {
        return new EndpointEntry(id, id % 5 == 4 ? "b" : "a", "k" + id % 2, id / 4, condition, since);
    }

    static List<EndpointEntry> hosts(int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int id = 0; id < count; id++) {
            entries.add(host(id));
        }
        return entries;
    }

    static IncomingRequest request(long id, String requestClass, double budget) {
        return new IncomingRequest(id, requestClass, null, budget);
    }

    /** Returns a load report with only the requests in flight. */
    static LoadReport reportOf(double outstanding) {
        return new LoadReport(outstanding, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    Send lastSend() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public void send(long request, long host, double giveUpAfter, double notAfter) {
        sends.add(new Send(request, numbers.merge(request, 1, Integer::sum) - 1, host, now));
    }

    @Override
    public void reject(long request, double retryAfter) {
        rejected.add(request);
    }

    @Override
    public void fail(long request) {
        failed.add(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        cancelled.add(request);
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        timers.computeIfAbsent(now + delay, x -> new ArrayList<>()).add(token);
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
