package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Random legal events against a balancer, judged by a checker that shares no code with it. */
class RulesTest {
    private static final double SLACK = 20;
    private static final double WINDOW = 300;

    /** What the checker itself knows of an attempt. */
    private static final class Try {
        final long host;
        final double at;
        AttemptOutcome result;

        Try(long host, double at) {
            this.host = host;
            this.at = at;
        }

        boolean mayHaveRun() {
            return result == null
                    || !(result == AttemptOutcome.REJECTED
                            || result == AttemptOutcome.CONNECT_FAILED
                            || result == AttemptOutcome.NOT_SENT);
        }
    }

    private static final class Req {
        Settings.RequestClass type;
        double deadline;
        boolean ended;
        final List<Try> tries = new ArrayList<>();
    }

    private final class World implements BalancerActions {
        final Random random;
        final boolean parallel;
        final int maxAttempts;
        final Map<Long, Req> reqs = new HashMap<>();
        final Map<Long, EndpointEntry> list = new HashMap<>();
        final Map<Long, List<Double>> coldSends = new HashMap<>();
        final List<Object[]> due = new ArrayList<>();
        final List<String> faults = new ArrayList<>();
        double now = 500;
        Balancer balancer;
        long nextId;
        int answered;

        World(long seed) {
            random = new Random(seed);
            parallel = random.nextBoolean();
            maxAttempts = 1 + random.nextInt(5);
        }

        void at(double delay, Runnable what) {
            due.add(new Object[] {now + delay, what});
        }

        @Override
        public void send(long id, long host, double giveUpAfter, double notAfter) {
            Req req = reqs.get(id);
            EndpointEntry entry = list.get(host);
            if (req.ended) {
                faults.add("rule 1: sent after the end");
            }
            if (entry == null || entry.condition() != Condition.READY) {
                faults.add("rule 3: sent to a host that drains or is gone");
            }
            if (req.tries.size() >= maxAttempts) {
                faults.add("more attempts than allowed");
            }
            for (Try t : req.tries) {
                if (t.result == null && !parallel) {
                    faults.add("rule 2: two attempts out");
                }
                if (t.mayHaveRun() && !repeatable(req, t, entry)) {
                    faults.add("rule 2: repeated where it may have run");
                }
            }
            if (entry != null && entry.onlineSince() > 0 && now - entry.onlineSince() < 8_000) {
                coldSends.computeIfAbsent(host, x -> new ArrayList<>()).add(now);
            }
            int number = req.tries.size();
            Try t = new Try(host, now);
            req.tries.add(t);
            double left = req.deadline - now;
            double p = random.nextDouble();
            double spent = Math.min(left, -60 * Math.log(1 - random.nextDouble()));
            AttemptOutcome end = p < 0.5 && spent < left
                    ? AttemptOutcome.OK
                    : p < 0.6 ? AttemptOutcome.TIMEOUT : AttemptOutcome.values()[random.nextInt(7)];
            if (end == AttemptOutcome.TIMEOUT || end == AttemptOutcome.OK && spent >= left) {
                end = AttemptOutcome.TIMEOUT;
                spent = left;
            }
            AttemptOutcome result = end;
            double took = spent;
            at(spent, () -> settle(id, req, t, number, result, took));
        }

        private boolean repeatable(Req req, Try t, EndpointEntry entry) {
            if (req.type.semantics() == Semantics.IDEMPOTENT) {
                return true;
            }
            if (req.type.semantics() == Semantics.AT_MOST_ONCE || now - t.at >= WINDOW) {
                return false;
            }
            EndpointEntry first = list.get(t.host);
            return switch (req.type.keyScope()) {
                case ALL -> true;
                case ZONE -> first.zone().equals(entry.zone());
                case CELL -> first.cell() == entry.cell();
            };
        }

        private void settle(long id, Req req, Try t, int number, AttemptOutcome result, double spent) {
            if (t.result != null) {
                return;
            }
            t.result = result;
            boolean over = req.ended || result == AttemptOutcome.OK;
            req.ended |= over;
            if (result == AttemptOutcome.OK) {
                answered++;
            }
            LoadReport report = held(random.nextInt(9));
            balancer.onAttemptEnded(
                    now, id, new AttemptResult(number, result, spent, over, random.nextBoolean() ? report : null));
        }

        private static LoadReport held(double n) {
            return new LoadReport(n, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        }

        private void end(long id) {
            Req req = reqs.get(id);
            if (req.ended) {
                faults.add("rule 1: answered twice");
            }
            if (now > req.deadline + SLACK) {
                faults.add("rule 1: answered too late");
            }
            req.ended = true;
            answered++;
        }

        @Override
        public void reject(long id, double coolDown) {
            Req req = reqs.get(id);
            for (Try t : req.tries) {
                if (t.mayHaveRun()
                        && req.type.semantics() != Semantics.IDEMPOTENT
                        && !(req.type.semantics() == Semantics.DEDUPLICATED
                                && req.type.keyScope() == Scope.ALL
                                && now - t.at < WINDOW)) {
                    faults.add("rule 2: refused where it may have run");
                }
            }
            end(id);
        }

        @Override
        public void fail(long id) {
            end(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            Req req = reqs.get(id);
            Try t = req.tries.get(attempt);
            at(0, () -> settle(id, req, t, attempt, AttemptOutcome.CANCELLED, now - t.at));
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
            EndpointEntry old = list.get(id);
            Condition condition =
                    switch (random.nextInt(5)) {
                        case 0 -> Condition.TERMINATING;
                        case 1 -> Condition.GONE;
                        default -> Condition.READY;
                    };
            double since = random.nextInt(3) == 0 ? now : old == null ? 0 : old.onlineSince();
            EndpointEntry entry = BalancerFixture.host(id, condition, since);
            list.put(id, entry);
            if (random.nextInt(4) > 0) {
                balancer.onWatchEvent(now, WatchEvent.DELTA, List.of(entry));
                return;
            }
            List<EndpointEntry> all = new ArrayList<>();
            for (long k : new java.util.TreeSet<>(list.keySet())) {
                EndpointEntry endpointEntry = list.get(k);
                if (endpointEntry.condition() == Condition.GONE) {
                    continue;
                }
                if (random.nextInt(10) == 0) {
                    list.put(k, BalancerFixture.host(k, Condition.GONE, endpointEntry.onlineSince()));
                } else {
                    all.add(endpointEntry);
                }
            }
            balancer.onWatchEvent(now, WatchEvent.FULL, all);
        }

        void run(int hosts, double length) {
            Settings settings = BalancerFixture.settings(
                    parallel,
                    maxAttempts,
                    random.nextBoolean(),
                    BalancerFixture.type("safe", Semantics.IDEMPOTENT, Scope.ALL),
                    BalancerFixture.type("all", Semantics.DEDUPLICATED, Scope.ALL),
                    BalancerFixture.type("zone", Semantics.DEDUPLICATED, Scope.ZONE),
                    BalancerFixture.type("cell", Semantics.DEDUPLICATED, Scope.CELL),
                    BalancerFixture.type("once", Semantics.AT_MOST_ONCE, Scope.ALL));
            balancer = new Balancer(settings, random.nextLong(), this);
            for (EndpointEntry entry : BalancerFixture.hosts(hosts)) {
                list.put(entry.id(), entry);
            }
            balancer.onStart(now);
            balancer.onWatchEvent(now, WatchEvent.CACHED, new ArrayList<>(list.values()));
            double stop = now + length;
            arrive(settings, stop);
            for (double t = 100; t < length; t += 100 + random.nextInt(400)) {
                at(t, () -> change(hosts));
            }
            while (!due.isEmpty()) {
                int first = 0;
                for (int i = 1; i < due.size(); i++) {
                    if ((double) due.get(i)[0] < (double) due.get(first)[0]) {
                        first = i;
                    }
                }
                Object[] next = due.remove(first);
                now = Math.max(now, (double) next[0]);
                if (now > stop + 5_000) {
                    break;
                }
                ((Runnable) next[1]).run();
            }
            for (Req req : reqs.values()) {
                if (!req.ended) {
                    faults.add("rule 1: lost");
                }
            }
        }

        private void arrive(Settings settings, double stop) {
            if (now > stop) {
                return;
            }
            Req req = new Req();
            req.type = settings.classes().get(random.nextInt(5));
            double budget = random.nextInt(20) == 0 ? random.nextInt(3) - 1 : 50 + random.nextInt(700);
            req.deadline = now + budget;
            long id = nextId++;
            reqs.put(id, req);
            balancer.onRequest(now, BalancerFixture.request(id, req.type.name(), budget));
            // A client may leave early; what is out still ends.
            if (random.nextInt(30) == 0) {
                at(random.nextInt(100), () -> {
                    if (!req.ended) {
                        req.ended = true;
                        balancer.onClientDisconnected(now, id);
                    }
                });
            }
            at(-8 * Math.log(1 - random.nextDouble()), () -> arrive(settings, stop));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 7, 24})
    void holdUnderRandomEvents(int hosts) {
        Set<String> faults = new HashSet<>();
        int answered = 0;
        for (long seed = 0; seed < 12; seed++) {
            World world = new World(seed * 31 + hosts);
            if (hosts == 0) {
                world.run(1, 0.5); // one host that the first change may remove
            } else {
                world.run(hosts, 4_000);
            }
            faults.addAll(world.faults);
            answered += world.answered;
            coldShare(world, hosts, faults);
        }
        assertThat(faults).isEmpty();
        assertThat(answered).isGreaterThan(10);
    }

    /** Rule 4: 125 requests a second over the hosts; the proxy's own share of a cold host. */
    private static void coldShare(World world, int hosts, Set<String> faults) {
        if (hosts < 2) {
            return;
        }
        for (Map.Entry<Long, List<Double>> e : world.coldSends.entrySet()) {
            double since = world.list.get(e.getKey()).onlineSince();
            List<Double> sends = e.getValue();
            for (int i = 0; i < sends.size(); i++) {
                int in = 0;
                for (int k = i; k < sends.size() && sends.get(k) < sends.get(i) + 1_500; k++) {
                    in++;
                }
                // A third of the hosts can be out, so the mean share may grow by half; the rate that the
                // proxy judges by wanders too. All in all well under the multiple of 3.
                double warm = 0.3 + 0.7 * Math.max(0, sends.get(i) + 1_500 - since) / 8_000;
                double share = 125.0 / Math.max(1, hosts / 2.0) * 1.5;
                if (in > 3 * Math.min(1, warm) * share + 3) {
                    faults.add("rule 4: " + in + " sends to a cold host");
                }
            }
        }
    }
}
