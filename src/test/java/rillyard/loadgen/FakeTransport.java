package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import rillyard.requestlog.ClientOutcome;
import rillyard.scheduling.Scheduler;

/** A target on the virtual clock: the test says after how long each attempt ends, and how. */
final class FakeTransport implements Transport {
    /** What becomes of an attempt: its end after {@code ms}, or nothing at all if it is null. */
    record Fate(double ms, AttemptResult end) {
        static Fate of(double ms, ClientOutcome outcome, int status) {
            return new Fate(ms, new AttemptResult(outcome, status, 0));
        }

        static Fate served(double ms) {
            return of(ms, ClientOutcome.SERVED, 200);
        }

        static Fate refused(double ms, double retryAfterMs) {
            return new Fate(ms, new AttemptResult(ClientOutcome.REFUSED, 503, (long) (1_000 * retryAfterMs)));
        }

        static Fate silence() {
            return new Fate(0, null);
        }
    }

    final List<OutgoingRequest> tries = new ArrayList<>();
    final List<Long> at = new ArrayList<>();
    int abandoned;
    private final Scheduler timers;
    private final Function<OutgoingRequest, Fate> fates;

    FakeTransport(Scheduler timers, Function<OutgoingRequest, Fate> fates) {
        this.timers = timers;
        this.fates = fates;
    }

    @Override
    public PendingAttempt send(OutgoingRequest request, Listener listener) {
        tries.add(request);
        at.add(timers.now());
        Fate fate = fates.apply(request);
        Scheduler.ScheduledTask due = fate.end() == null
                ? () -> {}
                : timers.scheduleAfter((long) (1e6 * fate.ms()), () -> listener.onEnded(fate.end()));
        return () -> {
            abandoned++;
            due.cancel();
        };
    }
}
