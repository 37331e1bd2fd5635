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
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.LoadReport;
import rillyard.balancer.WatchEvent;
import rillyard.settings.MalformedInputException;
import rillyard.settings.SettingsReader;

/**
 * One session with the simulator: feeds the events it writes to one {@link Balancer} for each proxy it names, and replies
 * with their actions. Not thread-safe.
 */
public final class SimulatorSession {
    /** The outcomes by their codes on the wire; code 0 is not used. */
    private static final AttemptOutcome[] OUTCOMES = {
        null,
        AttemptOutcome.OK,
        AttemptOutcome.ERROR,
        AttemptOutcome.REJECTED,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NOT_SENT
    };

    private final WireReader reader;
    private final OutputStream out;
    private final PrintStream errors;
    private final WireMessage message = new WireMessage();
    private final WireWriter reply = new WireWriter();
    private final Map<Long, Balancer> balancers = new HashMap<>();
    private final Map<Long, List<EndpointEntry>> endpointLists = new HashMap<>();
    private double now;

    /** Creates a session on these streams; stack traces of failures go to {@code errors}. */
    public SimulatorSession(InputStream in, OutputStream out, PrintStream errors) {
        this.reader = new WireReader(in);
        this.out = out;
        this.errors = errors;
    }

    /**
     * Replies to batches until the input ends, or until a balancer has failed.
     *
     * @throws MalformedInputException if the input is malformed
     */
    public void run() throws IOException {
        while (reader.next(message)) {
            if (!message.isNamed("sync")) {
                throw message.malformed("a batch starts with 'sync'");
            }
            now = message.decimal("wall");
            boolean succeeded = handleBatch();
            reply.flush(out);
            if (!succeeded) {
                return;
            }
        }
    }

    /** Handles the events of a batch; after a failure the others are read, but not handled. Returns false then. */
    private boolean handleBatch() throws IOException {
        boolean succeeded = true;
        while (true) {
            if (!reader.next(message)) {
                throw new MalformedInputException("the input ends in the middle of a batch");
            }
            if (message.isNamed("eob")) {
                reply.word("ok").endLine();
                return succeeded;
            }
            succeeded = succeeded && tryHandleEvent();
        }
    }

    private boolean tryHandleEvent() throws IOException {
        try {
            handleEvent();
            return true;
        } catch (MalformedInputException e) {
            throw e;
        } catch (RuntimeException e) {
            // A defect of the decisions: the simulator has to see it.
            e.printStackTrace(errors);
            reply.word("crash who=").number(message.number("who", 0));
            reply.word(" text=").text(e.toString()).endLine();
            return false;
        }
    }

    /** Handles one event; one of an unknown kind is skipped. */
    private void handleEvent() throws IOException {
        if (message.isNamed("outcome")) {
            onOutcome();
        } else if (message.isNamed("inbound")) {
            onInbound();
        } else if (message.isNamed("wake")) {
            onWake();
        } else if (message.isNamed("ledger")) {
            readEndpointList();
        } else if (message.isNamed("membership")) {
            onMembership();
        } else if (message.isNamed("gone")) {
            onGone();
        } else if (message.isNamed("retire")) {
            balancers.remove(message.number("who"));
        } else if (message.isNamed("new_instance")) {
            startInstance();
        } else if (message.isNamed("sync") || message.isNamed("host")) {
            throw message.malformed("'" + message.name() + "' is out of place");
        }
    }

    /** Returns the balancer the event is for, null if it has been retired. */
    private Balancer balancer() {
        return balancers.get(message.number("who"));
    }

    private void startInstance() {
        long instance = message.number("who");
        WireActions actions = new WireActions(reply, instance);
        Balancer balancer = new Balancer(SettingsReader.read(message.string("conf")), message.number("prng"), actions);
        balancers.put(instance, balancer);
        balancer.onStart(now);
    }

    private void onOutcome() {
        Balancer balancer = balancer();
        long request = message.number("txn");
        AttemptResult result = new AttemptResult(
                (int) message.number("sendNo"),
                outcome((int) message.number("reason")),
                message.decimal("spent", 0),
                message.flag("terminal"),
                balancer == null ? null : loadReport());
        if (balancer != null) {
            balancer.onAttemptEnded(now, request, result);
        }
    }

    /** An unknown code is taken for an error, which proves nothing about the effect. */
    private static AttemptOutcome outcome(int code) {
        return code > 0 && code < OUTCOMES.length ? OUTCOMES[code] : AttemptOutcome.ERROR;
    }

    private LoadReport loadReport() {
        double[] values = message.metrics("load", "rif", "q", "busy", "lat_ms", "rate", "fail_rate");
        return values == null ? null : new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private void onInbound() {
        Balancer balancer = balancer();
        long request = message.number("txn");
        String requestClass = message.string("class");
        double remainingTime = message.decimal("budget");
        if (balancer != null) {
            String tenant = message.string("org", null);
            balancer.onRequest(now, new IncomingRequest(request, requestClass, tenant, remainingTime));
        }
    }

    private void onGone() {
        Balancer balancer = balancer();
        long request = message.number("txn");
        if (balancer != null) {
            balancer.onClientDisconnected(now, request);
        }
    }

    private void onWake() {
        Balancer balancer = balancer();
        long token = message.number("token");
        if (balancer != null) {
            balancer.onTimer(now, token);
        }
    }

    private void readEndpointList() throws IOException {
        long buffer = message.number("buffer");
        long records = message.number("records");
        List<EndpointEntry> entries = new ArrayList<>();
        for (long record = 0; record < records; record++) {
            if (!reader.next(message)) {
                throw new MalformedInputException("the input ends in the middle of a ledger");
            }
            if (!message.isNamed("host")) {
                throw message.malformed("a ledger has fewer 'host' lines than it says");
            }
            entries.add(endpointEntry());
        }
        endpointLists.put(buffer, entries);
    }

    private EndpointEntry endpointEntry() {
        return new EndpointEntry(
                message.number("host"),
                message.string("hall", ""),
                message.string("model", ""),
                message.number("group", 0),
                condition(message.string("condition", "Ready")),
                message.decimal("onlineSince", 0));
    }

    private static EndpointEntry.Condition condition(String word) {
        return switch (word) {
            case "Ready" -> EndpointEntry.Condition.READY;
            case "Gone" -> EndpointEntry.Condition.GONE;
            default -> EndpointEntry.Condition.TERMINATING; // nothing new is sent to a host in an unknown condition
        };
    }

    private void onMembership() {
        Balancer balancer = balancer();
        WatchEvent event = watchEvent(message.string("how"));
        if (balancer == null || event == null) {
            return;
        }
        List<EndpointEntry> entries = List.of();
        if (event != WatchEvent.FAILED) {
            entries = endpointLists.get(message.number("buffer"));
            if (entries == null) {
                throw message.malformed("no ledger with this number has come");
            }
        }
        balancer.onWatchEvent(now, event, entries);
    }

    /** Returns the kind of event by its word on the wire, null for an unknown one. */
    private static WatchEvent watchEvent(String word) {
        return switch (word) {
            case "delta" -> WatchEvent.DELTA;
            case "full" -> WatchEvent.FULL;
            case "cached" -> WatchEvent.CACHED;
            case "failed" -> WatchEvent.FAILED;
            default -> null;
        };
    }
}
