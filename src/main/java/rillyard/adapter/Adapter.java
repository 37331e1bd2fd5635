package rillyard.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.balancer.Actions;
import rillyard.balancer.Arrival;
import rillyard.balancer.Balancer;
import rillyard.balancer.HostEntry;
import rillyard.balancer.LoadReport;
import rillyard.balancer.News;
import rillyard.balancer.Result;

/** Hosts one {@link Balancer} for each instance named on the wire and speaks the wire for them. */
public final class Adapter {
    private final LineReader reader;
    private final OutputStream out;
    private final PrintStream err;
    private final Line line = new Line();
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Long, Balancer> instances = new HashMap<>();
    private final Map<Long, List<HostEntry>> ledgers = new HashMap<>();
    private double now;

    /** Creates an adapter on these streams. */
    public Adapter(InputStream in, OutputStream out, PrintStream err) {
        this.reader = new LineReader(in);
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
            Balancer b = instance();
            long id = line.number("txn");
            if (b != null) {
                b.onClientGone(now, id);
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
        Balancer b = instance();
        long id = line.number("txn");
        int number = (int) line.number("sendNo");
        Result result = result((int) line.number("reason"));
        double spent = line.decimal("spent", 0);
        boolean over = line.flag("terminal");
        if (b != null) {
            // A reason that is not known proves nothing: as an error, it may have run.
            b.onOutcome(now, id, number, result == null ? Result.ERROR : result, spent, over, load());
        }
    }

    private void inbound() {
        Balancer b = instance();
        long id = line.number("txn");
        String type = line.string("class");
        double budget = line.decimal("budget");
        if (b != null) {
            b.onRequest(
                    now,
                    new Arrival(
                            id,
                            type,
                            line.string("org", null),
                            budget,
                            line.decimal("estimate", Double.NaN),
                            line.flag("resent")));
        }
    }

    private void wake() {
        Balancer b = instance();
        long token = line.number("token");
        if (b != null) {
            b.onTimer(now, token);
        }
    }

    private void ledger() throws IOException {
        long buffer = line.number("buffer");
        long records = line.number("records");
        List<HostEntry> entries = new ArrayList<>();
        for (long i = 0; i < records; i++) {
            if (!reader.next(line)) {
                throw new MalformedInputException("the input ends in the middle of a ledger");
            }
            if (!line.named("host")) {
                throw line.malformed("a ledger has fewer 'host' lines than it says");
            }
            entries.add(new HostEntry(
                    line.number("host"),
                    line.string("hall", ""),
                    line.string("model", ""),
                    line.number("group", 0),
                    condition(line.string("condition", "Ready")),
                    line.decimal("capacityHint", 1),
                    line.decimal("onlineSince", 0)));
        }
        ledgers.put(buffer, entries);
    }

    private static HostEntry.Condition condition(String s) {
        return switch (s) {
            case "Ready" -> HostEntry.Condition.READY;
            case "Gone" -> HostEntry.Condition.GONE;
            default -> HostEntry.Condition.TERMINATING; // nothing new goes to a state not known
        };
    }

    private void membership() {
        Balancer b = instance();
        News how =
                switch (line.string("how")) {
                    case "delta" -> News.DELTA;
                    case "full" -> News.FULL;
                    case "cached" -> News.CACHED;
                    case "failed" -> News.FAILED;
                    default -> null;
                };
        if (b == null || how == null) {
            return;
        }
        List<HostEntry> entries = List.of();
        if (how != News.FAILED) {
            entries = ledgers.get(line.number("buffer"));
            if (entries == null) {
                throw line.malformed("no ledger with this number has come");
            }
        }
        b.onMembership(now, how, entries);
    }

    private LoadReport load() {
        double[] v = line.report("load", "rif", "q", "busy", "lat_ms", "rate", "fail_rate");
        return v == null ? null : new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]);
    }

    private static Result result(int code) {
        return switch (code) {
            case 1 -> Result.OK;
            case 2 -> Result.ERROR;
            case 3 -> Result.FULL;
            case 4 -> Result.TIMEOUT;
            case 5 -> Result.CONNECT_FAILED;
            case 6 -> Result.RESET;
            case 7 -> Result.CANCELLED;
            case 8 -> Result.MOOT;
            default -> null;
        };
    }

    /** The actions of one instance, written in the order they are made. */
    private final class Wire implements Actions {
        private final long who;

        Wire(long who) {
            this.who = who;
        }

        private ReplyWriter start(String action) {
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
        public void refuse(long request, double coolDown) {
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
        public void schedule(double delay, long token) {
            start("set_timer").word(" sleepFor=").time(Math.max(0, delay));
            reply.word(" token=").number(token).end();
        }

        @Override
        public void follow() {
            start("follow").word(" active=1").end();
        }

        @Override
        public void log(String text) {
            start("say_log").word(" text=").text(text).end();
        }
    }
}
