package rillyard.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.Balancer;
import rillyard.balancer.BalancerActions;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.LoadReport;
import rillyard.balancer.WatchEvent;
import rillyard.settings.MalformedInputException;
import rillyard.settings.SettingsReader;

/** Hosts one {@link Balancer} for each instance named on the wire and speaks the wire for them. */
public final class SimulatorSession {
    private final WireReader reader;
    private final OutputStream out;
    private final PrintStream err;
    private final WireMessage line = new WireMessage();
    private final WireWriter reply = new WireWriter();
    private final Map<Long, Balancer> instances = new HashMap<>();
    private final Map<Long, List<EndpointEntry>> endpointLists = new HashMap<>();
    private double now;

    /** Creates an adapter on these streams. */
    public SimulatorSession(InputStream in, OutputStream out, PrintStream err) {
        this.reader = new WireReader(in);
        this.out = out;
        this.err = err;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedInputException if the input is not of the wire
     */
    public void run() throws IOException {
        while (reader.next(line)) {
            if (!line.named("sync")) {
                throw line.malformed("a batch starts with 'sync'");
            }
            now = line.decimal("wall");
            boolean alive = batch();
            reply.flush(out);
            if (!alive) {
                return;
            }
        }
    }

    private boolean batch() throws IOException {
        boolean alive = true;
        while (true) {
            if (!reader.next(line)) {
                throw new MalformedInputException("the input ends in the middle of a batch");
            }
            if (line.named("eob")) {
                reply.word("ok").end();
                return alive;
            }
            if (alive) {
                try {
                    event();
                } catch (MalformedInputException e) {
                    throw e;
                } catch (RuntimeException e) {
                    // A failure of the decisions must be seen, never swallowed.
                    e.printStackTrace(err);
                    long who = line.number("who", 0);
                    reply.word("crash who=")
                            .number(who)
                            .word(" text=")
                            .text(e.toString())
                            .end();
                    alive = false;
                }
            }
        }
    }

    private void event() throws IOException {
        if (line.named("outcome")) {
            outcome();
        } else if (line.named("inbound")) {
            inbound();
        } else if (line.named("wake")) {
            wake();
        } else if (line.named("ledger")) {
            ledger();
        } else if (line.named("membership")) {
            membership();
        } else if (line.named("gone")) {
            Balancer balancer = instance();
            long id = line.number("txn");
            if (balancer != null) {
                balancer.onClientDisconnected(now, id);
            }
        } else if (line.named("retire")) {
            instances.remove(line.number("who"));
        } else if (line.named("new_instance")) {
            long who = line.number("who");
            Balancer b = new Balancer(SettingsReader.read(line.string("conf")), line.number("prng"), new Wire(who));
            instances.put(who, b);
            b.onStart(now);
        } else if (line.named("sync") || line.named("host")) {
            throw line.malformed("'" + line.name() + "' is out of place");
        }
        // An event that is not known is skipped.
    }

    private Balancer instance() {
        return instances.get(line.number("who"));
    }

    private void outcome() {
        Balancer balancer = instance();
        long id = line.number("txn");
        int number = (int) line.number("sendNo");
        AttemptOutcome result = result((int) line.number("reason"));
        double spent = line.decimal("spent", 0);
        boolean over = line.flag("terminal");
        if (balancer != null) {
            // A reason that is not known proves nothing: as an error, it may have run.
            balancer.onAttemptEnded(
                    now,
                    id,
                    new AttemptResult(number, result == null ? AttemptOutcome.ERROR : result, spent, over, load()));
        }
    }

    private void inbound() {
        Balancer balancer = instance();
        long id = line.number("txn");
        String type = line.string("class");
        double budget = line.decimal("budget");
        if (balancer != null) {
            balancer.onRequest(
                    now,
                    new IncomingRequest(
                            id,
                            type,
                            line.string("org", null),
                            budget,
                            line.decimal("estimate", Double.NaN),
                            line.flag("resent")));
        }
    }

    private void wake() {
        Balancer balancer = instance();
        long token = line.number("token");
        if (balancer != null) {
            balancer.onTimer(now, token);
        }
    }

    private void ledger() throws IOException {
        long buffer = line.number("buffer");
        long records = line.number("records");
        List<EndpointEntry> entries = new ArrayList<>();
        for (long i = 0; i < records; i++) {
            if (!reader.next(line)) {
                throw new MalformedInputException("the input ends in the middle of a ledger");
            }
            if (!line.named("host")) {
                throw line.malformed("a ledger has fewer 'host' lines than it says");
            }
            entries.add(new EndpointEntry(
                    line.number("host"),
                    line.string("hall", ""),
                    line.string("model", ""),
                    line.number("group", 0),
                    condition(line.string("condition", "Ready")),
                    line.decimal("capacityHint", 1),
                    line.decimal("onlineSince", 0)));
        }
        endpointLists.put(buffer, entries);
    }

    private static EndpointEntry.Condition condition(String s) {
        return switch (s) {
            case "Ready" -> EndpointEntry.Condition.READY;
            case "Gone" -> EndpointEntry.Condition.GONE;
            default -> EndpointEntry.Condition.TERMINATING; // nothing new goes to a state not known
        };
    }

    private void membership() {
        Balancer balancer = instance();
        WatchEvent how =
                switch (line.string("how")) {
                    case "delta" -> WatchEvent.DELTA;
                    case "full" -> WatchEvent.FULL;
                    case "cached" -> WatchEvent.CACHED;
                    case "failed" -> WatchEvent.FAILED;
                    default -> null;
                };
        if (balancer == null || how == null) {
            return;
        }
        List<EndpointEntry> entries = List.of();
        if (how != WatchEvent.FAILED) {
            entries = endpointLists.get(line.number("buffer"));
            if (entries == null) {
                throw line.malformed("no ledger with this number has come");
            }
        }
        balancer.onWatchEvent(now, how, entries);
    }

    private LoadReport load() {
        double[] v = line.report("load", "rif", "q", "busy", "lat_ms", "rate", "fail_rate");
        return v == null ? null : new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]);
    }

    private static AttemptOutcome result(int code) {
        return switch (code) {
            case 1 -> AttemptOutcome.OK;
            case 2 -> AttemptOutcome.ERROR;
            case 3 -> AttemptOutcome.REJECTED;
            case 4 -> AttemptOutcome.TIMEOUT;
            case 5 -> AttemptOutcome.CONNECT_FAILED;
            case 6 -> AttemptOutcome.RESET;
            case 7 -> AttemptOutcome.CANCELLED;
            case 8 -> AttemptOutcome.NOT_SENT;
            default -> null;
        };
    }

    /** The actions of one instance, written in the order they are made. */
    private final class Wire implements BalancerActions {
        private final long who;

        Wire(long who) {
            this.who = who;
        }

        private WireWriter start(String action) {
            return reply.word(action).word(" who=").number(who);
        }

        @Override
        public void send(
                long request, long host, double giveUpAfter, double notAfter) { // the wire has no late connects
            start("transmit").word(" txn=").number(request).word(" host=").number(host);
            if (giveUpAfter > 0) {
                reply.word(" giveUpAfter=").time(giveUpAfter);
            }
            reply.end();
        }

        @Override
        public void reject(long request, double coolDown) {
            start("shed").word(" txn=").number(request);
            if (coolDown > 0) {
                reply.word(" coolDown=").time(coolDown);
            }
            reply.end();
        }

        @Override
        public void fail(long request) {
            start("abort").word(" txn=").number(request).end();
        }

        @Override
        public void cancel(long request, int attempt) {
            start("cancel")
                    .word(" txn=")
                    .number(request)
                    .word(" sendNo=")
                    .number(attempt)
                    .end();
        }

        @Override
        public void scheduleTimer(double delay, long token) {
            start("set_timer").word(" sleepFor=").time(Math.max(0, delay));
            reply.word(" token=").number(token).end();
        }

        @Override
        public void subscribe() {
            start("follow").word(" active=1").end();
        }

        @Override
        public void log(String text) {
            start("say_log").word(" text=").text(text).end();
        }
    }
}
