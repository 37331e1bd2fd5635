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
 * Runs one session with the simulator: passes its events to one {@link Balancer} for each simulated proxy and replies
 * with the actions of the balancers. Not thread-safe.
 */
public final class SimulatorSession {
    /** Attempt outcomes, indexed by their codes on the wire; code 0 is not used. */
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
    private double nowMillis;

    /** Creates a session on these streams; stack traces of failures go to {@code errors}. */
    public SimulatorSession(InputStream in, OutputStream out, PrintStream errors) {
        this.reader = new WireReader(in);
        this.out = out;
        this.errors = errors;
    }

    /**
     * Handles batches and replies to them until the input ends or a balancer throws an exception.
     *
     * @throws MalformedInputException if the input is malformed
     */
    public void run() throws IOException {
        while (reader.next(message)) {
            if (!message.isNamed("sync")) {
                throw message.malformed("expected 'sync' at the start of a batch");
            }
            nowMillis = message.decimal("wall");
            boolean succeeded = handleBatch();
            reply.flush(out);
            if (!succeeded) {
                return;
            }
        }
    }

    /**
     * Handles the events of a batch and returns whether all succeeded; after a failure the remaining events are read
     * but not handled.
     */
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
            // A defect of the balancer is reported to the simulator.
            e.printStackTrace(errors);
            reply.word("crash who=").number(message.number("who", 0));
            reply.word(" text=").text(e.toString()).endLine();
            return false;
        }
    }

    /** Handles one event; events of unknown kinds are skipped. */
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
            throw message.malformed("'" + message.name() + "' is not expected here");
        }
    }

    /** Returns the balancer that the event is addressed to, or null if that balancer has been retired. */
    private Balancer balancer() {
        return balancers.get(message.number("who"));
    }

    private void startInstance() {
        long instance = message.number("who");
        WireActions actions = new WireActions(reply, instance);
        Balancer balancer = new Balancer(SettingsReader.read(message.string("conf")), message.number("prng"), actions);
        balancers.put(instance, balancer);
        balancer.onStart(nowMillis);
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
            balancer.onAttemptEnded(nowMillis, request, result);
        }
    }

    /** Returns the outcome of a code; an unknown code is an error, after which the effect is unknown. */
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
        double remainingMillis = message.decimal("budget");
        if (balancer != null) {
            String tenant = message.string("org", null);
            balancer.onRequest(nowMillis, new IncomingRequest(request, requestClass, tenant, remainingMillis));
        }
    }

    private void onGone() {
        Balancer balancer = balancer();
        long request = message.number("txn");
        if (balancer != null) {
            balancer.onClientDisconnected(nowMillis, request);
        }
    }

    private void onWake() {
        Balancer balancer = balancer();
        long token = message.number("token");
        if (balancer != null) {
            balancer.onTimer(nowMillis, token);
        }
    }

    private void readEndpointList() throws IOException {
        long listNumber = message.number("buffer");
        long entryCount = message.number("records");
        List<EndpointEntry> entries = new ArrayList<>();
        for (long index = 0; index < entryCount; index++) {
            if (!reader.next(message)) {
                throw new MalformedInputException("the input ends within the lines of a 'ledger'");
            }
            if (!message.isNamed("host")) {
                throw message.malformed("'ledger' has fewer 'host' lines than its field 'records' states");
            }
            entries.add(endpointEntry());
        }
        endpointLists.put(listNumber, entries);
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
            default -> EndpointEntry.Condition.TERMINATING; // a host in an unknown condition gets no new requests
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
                throw message.malformed("no 'ledger' with the number in field 'buffer' has been received");
            }
        }
        balancer.onWatchEvent(nowMillis, event, entries);
    }

    /** Returns the watch event with this name on the wire, or null for an unknown name. */
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
