package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import rillyard.requestlog.ClientOutcome;
import rillyard.scheduling.Scheduler;

/** A transport on a virtual clock whose results a test scripts. */
final class FakeTransport implements Transport {
    /** Result of an attempt {@code ms} milliseconds after it was sent; no response at all if {@code end} is null. */
    record ScriptedResult(double ms, AttemptResult end) {
        static ScriptedResult of(double ms, ClientOutcome outcome, int status) {
            return new ScriptedResult(ms, new AttemptResult(outcome, status, 0));
        }

        static ScriptedResult served(double ms) {
            return of(ms, ClientOutcome.SERVED, 200);
        }

        static ScriptedResult rejected(double ms, double retryAfterMs) {
            return new ScriptedResult(ms, new AttemptResult(ClientOutcome.REFUSED, 503, (long) (1_000 * retryAfterMs)));
        }

        static ScriptedResult noResponse() {
            return new ScriptedResult(0, null);
        }
    }

    final List<OutgoingRequest> sentRequests = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
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
        sentAt.add(scheduler.now());
        ScriptedResult scripted = script.apply(request);
        Scheduler.ScheduledTask due = scripted.end() == null
                ? () -> {}
                : scheduler.scheduleAfter((long) (1e6 * scripted.ms()), () -> listener.onEnded(scripted.end()));
        return () -> {
            abandoned++;
            due.cancel();
        };
    }
}
