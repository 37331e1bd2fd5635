package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import rillyard.requestlog.ClientOutcome;
import rillyard.scheduling.Scheduler;

/** A transport on a virtual clock whose results are scripted by a test. */
final class FakeTransport implements Transport {
    /** Result of an attempt {@code delayMillis} after it was sent; no response at all if {@code result} is null. */
    record ScriptedResult(double delayMillis, AttemptResult result) {
        static ScriptedResult of(double delayMillis, ClientOutcome outcome, int status) {
            return new ScriptedResult(delayMillis, new AttemptResult(outcome, status, 0));
        }

        static ScriptedResult served(double delayMillis) {
            return of(delayMillis, ClientOutcome.SERVED, 200);
        }

        static ScriptedResult rejected(double delayMillis, double retryAfterMs) {
            return new ScriptedResult(
                    delayMillis, new AttemptResult(ClientOutcome.REFUSED, 503, (long) (1_000 * retryAfterMs)));
        }

        static ScriptedResult noResponse() {
            return new ScriptedResult(0, null);
        }
    }

    final List<OutgoingRequest> sentRequests = new ArrayList<>();
    final List<Long> sentAtNanos = new ArrayList<>();
    int abandoned;
    private final Scheduler scheduler;
    private final Function<OutgoingRequest, ScriptedResult> script;

    FakeTransport(Scheduler scheduler, Function<OutgoingRequest, ScriptedResult> script) {
        this.scheduler = scheduler;
        this.script = script;
    }

    @Override
    public PendingAttempt send(OutgoingRequest request, Listener listener) {
        sentRequests.add(request);
        sentAtNanos.add(scheduler.now());
        ScriptedResult scripted = script.apply(request);
        Scheduler.ScheduledTask due = scripted.result() == null
                ? () -> {}
                : scheduler.scheduleAfter(
                        (long) (1e6 * scripted.delayMillis()), () -> listener.onEnded(scripted.result()));
        return () -> {
            abandoned++;
            due.cancel();
        };
    }
}
