package rillyard.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Plays random legal events against a balancer, and checks what it does against the rules without sharing code with it. */
final class RandomWorld implements BalancerActions {
    private static final List<AttemptOutcome> ANY_OUTCOME = List.of(
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.REJECTED,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET,
            AttemptOutcome.CANCELLED);

    private static final double SLACK = 20;
    private static final double WINDOW = 300;

    final Random random;
    final boolean parallel;
    final int maxAttempts;
    final Map<Long, CheckedRequest> requests = new HashMap<>();
    final Map<Long, EndpointEntry> endpoints = new HashMap<>();
    final Map<Long, List<Double>> slowStartSends = new HashMap<>();
    final List<Object[]> events = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    double now = 500;
    Balancer balancer;
    long nextId;
    int answered;

    RandomWorld(long seed) {
        random = new Random(seed);
        parallel = random.nextBoolean();
        maxAttempts = 1 + random.nextInt(5);
    }

    void at(double delay, Runnable what) {
        events.add(new Object[] {now + delay, what});
    }

    @Override
    public void send(long id, long host, double giveUpAfter, double notAfter) {
        CheckedRequest request = requests.get(id);
        EndpointEntry entry = endpoints.get(host);
        if (request.ended) {
            violations.add("rule 1: sent after the end");
        }
        if (entry == null || entry.condition() != Condition.READY) {
            violations.add("rule 3: sent to a host that drains or is gone");
        }
        if (request.attempts.size() >= maxAttempts) {
            violations.add("more attempts than allowed");
        }
        for (CheckedAttempt attempt : request.attempts) {
            if (attempt.outcome == null && !parallel) {
                violations.add("rule 2: two attempts out");
            }
            if (attempt.mayHaveExecuted() && !repeatable(request, attempt, entry)) {
                violations.add("rule 2: repeated where it may have run");
            }
        }
        if (entry != null && entry.startedAtMillis() > 0 && now - entry.startedAtMillis() < 8_000) {
            slowStartSends.computeIfAbsent(host, key -> new ArrayList<>()).add(now);
        }
        int number = request.attempts.size();
        CheckedAttempt attempt = new CheckedAttempt(host, now);
        request.attempts.add(attempt);
        double left = request.deadline - now;
        double chance = random.nextDouble();
        double spent = Math.min(left, -60 * Math.log(1 - random.nextDouble()));
        AttemptOutcome end = chance < 0.5 && spent < left
                ? AttemptOutcome.OK
                : chance < 0.6 ? AttemptOutcome.TIMEOUT : ANY_OUTCOME.get(random.nextInt(ANY_OUTCOME.size()));
        if (end == AttemptOutcome.TIMEOUT || (end == AttemptOutcome.OK && spent >= left)) {
            end = AttemptOutcome.TIMEOUT;
            spent = left;
        }
        AttemptOutcome result = end;
        double latency = spent;
        at(spent, () -> settle(id, request, attempt, number, result, latency));
    }

    private boolean repeatable(CheckedRequest request, CheckedAttempt attempt, EndpointEntry entry) {
        if (request.requestClass.semantics() == Semantics.IDEMPOTENT) {
            return true;
        }
        if (request.requestClass.semantics() == Semantics.AT_MOST_ONCE || now - attempt.sentAt >= WINDOW) {
            return false;
        }
        EndpointEntry first = endpoints.get(attempt.host);
        return switch (request.requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> first.zone().equals(entry.zone());
            case CELL -> first.cell() == entry.cell();
        };
    }

    private void settle(
            long id, CheckedRequest request, CheckedAttempt attempt, int number, AttemptOutcome result, double spent) {
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = result;
        boolean ended = request.ended || result == AttemptOutcome.OK;
        request.ended |= ended;
        if (result == AttemptOutcome.OK) {
            answered++;
        }
        LoadReport report = held(random.nextInt(9));
        balancer.onAttemptEnded(
                now, id, new AttemptResult(number, result, spent, ended, random.nextBoolean() ? report : null));
    }

    private static LoadReport held(double outstanding) {
        return new LoadReport(outstanding, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    private void end(long id) {
        CheckedRequest request = requests.get(id);
        if (request.ended) {
            violations.add("rule 1: answered twice");
        }
        if (now > request.deadline + SLACK) {
            violations.add("rule 1: answered too late");
        }
        request.ended = true;
        answered++;
    }

    @Override
    public void reject(long id, double retryAfter) {
        CheckedRequest request = requests.get(id);
        for (CheckedAttempt attempt : request.attempts) {
            if (attempt.mayHaveExecuted()
                    && request.requestClass.semantics() != Semantics.IDEMPOTENT
                    && !(request.requestClass.semantics() == Semantics.DEDUPLICATED
                            && request.requestClass.keyScope() == Scope.ALL
                            && now - attempt.sentAt < WINDOW)) {
                violations.add("rule 2: rejected although it may have been executed");
            }
        }
        end(id);
    }

    @Override
    public void fail(long id) {
        end(id);
    }

    @Override
    public void cancel(long id, int number) {
        CheckedRequest request = requests.get(id);
        CheckedAttempt attempt = request.attempts.get(number);
        at(0, () -> settle(id, request, attempt, number, AttemptOutcome.CANCELLED, now - attempt.sentAt));
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        at(Math.max(delay, 0.001), () -> balancer.onTimer(now, token));
    }

    @Override
    public void subscribe() {
        at(50, () -> balancer.onWatchEvent(now, WatchEvent.FAILED, List.of()));
    }

    @Override
    public void log(String line) {}

    void change(int hosts) {
        long id = random.nextInt(hosts);
        EndpointEntry previous = endpoints.get(id);
        Condition condition =
                switch (random.nextInt(5)) {
                    case 0 -> Condition.TERMINATING;
                    case 1 -> Condition.GONE;
                    default -> Condition.READY;
                };
        double since = random.nextInt(3) == 0 ? now : previous == null ? 0 : previous.startedAtMillis();
        EndpointEntry entry = BalancerFixture.host(id, condition, since);
        endpoints.put(id, entry);
        if (random.nextInt(4) > 0) {
            balancer.onWatchEvent(now, WatchEvent.DELTA, List.of(entry));
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
        balancer.onWatchEvent(now, WatchEvent.FULL, entries);
    }

    void run(int hosts, double length) {
        Settings settings = BalancerFixture.settings(
                parallel,
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
        balancer.onStart(now);
        balancer.onWatchEvent(now, WatchEvent.CACHED, new ArrayList<>(endpoints.values()));
        double stop = now + length;
        arrive(settings, stop);
        for (double attempt = 100; attempt < length; attempt += 100 + random.nextInt(400)) {
            at(attempt, () -> change(hosts));
        }
        while (!events.isEmpty()) {
            int first = 0;
            for (int i = 1; i < events.size(); i++) {
                if ((double) events.get(i)[0] < (double) events.get(first)[0]) {
                    first = i;
                }
            }
            Object[] next = events.remove(first);
            now = Math.max(now, (double) next[0]);
            if (now > stop + 5_000) {
                break;
            }
            ((Runnable) next[1]).run();
        }
        for (CheckedRequest request : requests.values()) {
            if (!request.ended) {
                violations.add("rule 1: lost");
            }
        }
    }

    private void arrive(Settings settings, double stop) {
        if (now > stop) {
            return;
        }
        CheckedRequest request = new CheckedRequest();
        request.requestClass = settings.classes().get(random.nextInt(5));
        double budget = random.nextInt(20) == 0 ? random.nextInt(3) - 1 : 50 + random.nextInt(700);
        request.deadline = now + budget;
        long id = nextId++;
        requests.put(id, request);
        balancer.onRequest(now, BalancerFixture.request(id, request.requestClass.name(), budget));
        // A client may leave early; what is out still ends.
        if (random.nextInt(30) == 0) {
            at(random.nextInt(100), () -> {
                if (!request.ended) {
                    request.ended = true;
                    balancer.onClientDisconnected(now, id);
                }
            });
        }
        at(-8 * Math.log(1 - random.nextDouble()), () -> arrive(settings, stop));
    }
}
