package rillyard.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Sends a balancer random legal events and checks the actions that it requests, without using its code. The rules are:
 *
 * <ol>
 *   <li>Each request gets exactly one final response, by its deadline, and no attempt after that.
 *   <li>A request that may have been executed is repeated or rejected only where its class permits it, and parallel
 *       attempts are started only where the settings permit them.
 *   <li>No attempt is sent to a host that is draining or removed.
 *   <li>A host that is warming up isn't overloaded; {@link RulesTest} checks this with {@link
 *       #slowStartSendTimesMillis}.
 * </ol>
 */
final class RandomWorld implements BalancerActions {
    private static final List<AttemptOutcome> ANY_OUTCOME = List.of(
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.REJECTED,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET,
            AttemptOutcome.CANCELLED);

    private static final double SLACK_MILLIS = 20;
    private static final double WINDOW_MILLIS = 300;

    final Random random;
    final boolean mayRunParallelAttempts;
    final int maxAttempts;
    final Map<Long, CheckedRequest> requests = new HashMap<>();
    final Map<Long, EndpointEntry> endpoints = new HashMap<>();
    final Map<Long, List<Double>> slowStartSendTimesMillis = new HashMap<>();
    final List<Object[]> events = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    double nowMillis = 500;
    Balancer balancer;
    long nextId;
    int answeredCount;

    RandomWorld(long seed) {
        random = new Random(seed);
        mayRunParallelAttempts = random.nextBoolean();
        maxAttempts = 1 + random.nextInt(5);
    }

    void schedule(double delayMillis, Runnable action) {
        events.add(new Object[] {nowMillis + delayMillis, action});
    }

    @Override
    public void send(long id, long host, double timeoutMillis, double notAfterMillis) {
        CheckedRequest request = requests.get(id);
        EndpointEntry entry = endpoints.get(host);
        if (request.ended) {
            violations.add("rule 1: attempt sent after the end of the request");
        }
        if (entry == null || entry.condition() != Condition.READY) {
            violations.add("rule 3: attempt sent to a host that is draining or removed");
        }
        if (request.attempts.size() >= maxAttempts) {
            violations.add("more attempts than the limit");
        }
        for (CheckedAttempt attempt : request.attempts) {
            if (attempt.outcome == null && !mayRunParallelAttempts) {
                violations.add("rule 2: two attempts in flight, parallel attempts are off");
            }
            if (attempt.mayHaveExecuted() && !mayBeRepeated(request, attempt, entry)) {
                violations.add("rule 2: repeated although an earlier attempt may have been executed");
            }
        }
        if (entry != null && entry.startedAtMillis() > 0 && nowMillis - entry.startedAtMillis() < 8_000) {
            slowStartSendTimesMillis
                    .computeIfAbsent(host, key -> new ArrayList<>())
                    .add(nowMillis);
        }
        int number = request.attempts.size();
        CheckedAttempt attempt = new CheckedAttempt(host, nowMillis);
        request.attempts.add(attempt);
        double remainingMillis = request.deadlineMillis - nowMillis;
        double chance = random.nextDouble();
        double latencyMillis = Math.min(remainingMillis, -60 * Math.log(1 - random.nextDouble()));
        AttemptOutcome drawnOutcome = chance < 0.5 && latencyMillis < remainingMillis
                ? AttemptOutcome.OK
                : chance < 0.6 ? AttemptOutcome.TIMEOUT : ANY_OUTCOME.get(random.nextInt(ANY_OUTCOME.size()));
        if (drawnOutcome == AttemptOutcome.TIMEOUT
                || (drawnOutcome == AttemptOutcome.OK && latencyMillis >= remainingMillis)) {
            drawnOutcome = AttemptOutcome.TIMEOUT;
            latencyMillis = remainingMillis;
        }
        AttemptOutcome outcome = drawnOutcome;
        double latency = latencyMillis;
        schedule(latencyMillis, () -> endAttempt(id, request, attempt, number, outcome, latency));
    }

    private boolean mayBeRepeated(CheckedRequest request, CheckedAttempt attempt, EndpointEntry entry) {
        if (request.requestClass.semantics() == Semantics.IDEMPOTENT) {
            return true;
        }
        if (request.requestClass.semantics() == Semantics.AT_MOST_ONCE
                || nowMillis - attempt.sentAtMillis >= WINDOW_MILLIS) {
            return false;
        }
        EndpointEntry first = endpoints.get(attempt.host);
        return switch (request.requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> first.zone().equals(entry.zone());
            case CELL -> first.cell() == entry.cell();
        };
    }

    private void endAttempt(
            long id,
            CheckedRequest request,
            CheckedAttempt attempt,
            int number,
            AttemptOutcome outcome,
            double latencyMillis) {
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        boolean ended = request.ended || outcome == AttemptOutcome.OK;
        request.ended |= ended;
        if (outcome == AttemptOutcome.OK) {
            answeredCount++;
        }
        LoadReport report = reportOf(random.nextInt(9));
        balancer.onAttemptEnded(
                nowMillis,
                id,
                new AttemptResult(number, outcome, latencyMillis, ended, random.nextBoolean() ? report : null));
    }

    private static LoadReport reportOf(double outstanding) {
        return new LoadReport(outstanding, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    private void recordFinalResponse(long id) {
        CheckedRequest request = requests.get(id);
        if (request.ended) {
            violations.add("rule 1: two final responses");
        }
        if (nowMillis > request.deadlineMillis + SLACK_MILLIS) {
            violations.add("rule 1: final response after the deadline");
        }
        request.ended = true;
        answeredCount++;
    }

    @Override
    public void reject(long id, double retryAfterMillis) {
        CheckedRequest request = requests.get(id);
        for (CheckedAttempt attempt : request.attempts) {
            if (attempt.mayHaveExecuted()
                    && request.requestClass.semantics() != Semantics.IDEMPOTENT
                    && !(request.requestClass.semantics() == Semantics.DEDUPLICATED
                            && request.requestClass.keyScope() == Scope.ALL
                            && nowMillis - attempt.sentAtMillis < WINDOW_MILLIS)) {
                violations.add("rule 2: rejected although it may have been executed");
            }
        }
        recordFinalResponse(id);
    }

    @Override
    public void fail(long id) {
        recordFinalResponse(id);
    }

    @Override
    public void cancel(long id, int number) {
        CheckedRequest request = requests.get(id);
        CheckedAttempt attempt = request.attempts.get(number);
        schedule(
                0,
                () -> endAttempt(
                        id, request, attempt, number, AttemptOutcome.CANCELLED, nowMillis - attempt.sentAtMillis));
    }

    @Override
    public void scheduleTimer(double delayMillis, long token) {
        schedule(Math.max(delayMillis, 0.001), () -> balancer.onTimer(nowMillis, token));
    }

    @Override
    public void subscribe() {
        schedule(50, () -> balancer.onWatchEvent(nowMillis, WatchEvent.FAILED, List.of()));
    }

    @Override
    public void log(String line) {}

    void changeEndpoint(int hosts) {
        long id = random.nextInt(hosts);
        EndpointEntry previous = endpoints.get(id);
        Condition condition =
                switch (random.nextInt(5)) {
                    case 0 -> Condition.TERMINATING;
                    case 1 -> Condition.GONE;
                    default -> Condition.READY;
                };
        double startedAtMillis = random.nextInt(3) == 0 ? nowMillis : previous == null ? 0 : previous.startedAtMillis();
        EndpointEntry entry = BalancerFixture.host(id, condition, startedAtMillis);
        endpoints.put(id, entry);
        if (random.nextInt(4) > 0) {
            balancer.onWatchEvent(nowMillis, WatchEvent.DELTA, List.of(entry));
            return;
        }
        List<EndpointEntry> entries = new ArrayList<>();
        for (long hostId : new java.util.TreeSet<>(endpoints.keySet())) {
            EndpointEntry endpointEntry = endpoints.get(hostId);
            if (endpointEntry.condition() == Condition.GONE) {
                continue;
            }
            if (random.nextInt(10) == 0) {
                endpoints.put(hostId, BalancerFixture.host(hostId, Condition.GONE, endpointEntry.startedAtMillis()));
            } else {
                entries.add(endpointEntry);
            }
        }
        balancer.onWatchEvent(nowMillis, WatchEvent.FULL, entries);
    }

    void run(int hosts, double durationMillis) {
        Settings settings = BalancerFixture.settings(
                mayRunParallelAttempts,
                maxAttempts,
                random.nextBoolean(),
                BalancerFixture.requestClass("safe", Semantics.IDEMPOTENT, Scope.ALL),
                BalancerFixture.requestClass("all", Semantics.DEDUPLICATED, Scope.ALL),
                BalancerFixture.requestClass("zone", Semantics.DEDUPLICATED, Scope.ZONE),
                BalancerFixture.requestClass("cell", Semantics.DEDUPLICATED, Scope.CELL),
                BalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, Scope.ALL));
        balancer = new Balancer(settings, random.nextLong(), this);
        for (EndpointEntry entry : BalancerFixture.hosts(hosts)) {
            endpoints.put(entry.id(), entry);
        }
        balancer.onStart(nowMillis);
        balancer.onWatchEvent(nowMillis, WatchEvent.CACHED, new ArrayList<>(endpoints.values()));
        double stopMillis = nowMillis + durationMillis;
        sendRequestAndScheduleNext(settings, stopMillis);
        for (double atMillis = 100; atMillis < durationMillis; atMillis += 100 + random.nextInt(400)) {
            schedule(atMillis, () -> changeEndpoint(hosts));
        }
        while (!events.isEmpty()) {
            int first = 0;
            for (int i = 1; i < events.size(); i++) {
                if ((double) events.get(i)[0] < (double) events.get(first)[0]) {
                    first = i;
                }
            }
            Object[] next = events.remove(first);
            nowMillis = Math.max(nowMillis, (double) next[0]);
            if (nowMillis > stopMillis + 5_000) {
                break;
            }
            ((Runnable) next[1]).run();
        }
        for (CheckedRequest request : requests.values()) {
            if (!request.ended) {
                violations.add("rule 1: no final response");
            }
        }
    }

    private void sendRequestAndScheduleNext(Settings settings, double stopMillis) {
        if (nowMillis > stopMillis) {
            return;
        }
        CheckedRequest request = new CheckedRequest();
        request.requestClass = settings.classes().get(random.nextInt(5));
        double timeoutMillis = random.nextInt(20) == 0 ? random.nextInt(3) - 1 : 50 + random.nextInt(700);
        request.deadlineMillis = nowMillis + timeoutMillis;
        long id = nextId++;
        requests.put(id, request);
        balancer.onRequest(nowMillis, BalancerFixture.request(id, request.requestClass.name(), timeoutMillis));
        // A client may disconnect early; the attempts in flight still end.
        if (random.nextInt(30) == 0) {
            schedule(random.nextInt(100), () -> {
                if (!request.ended) {
                    request.ended = true;
                    balancer.onClientDisconnected(nowMillis, id);
                }
            });
        }
        schedule(-8 * Math.log(1 - random.nextDouble()), () -> sendRequestAndScheduleNext(settings, stopMillis));
    }
}
