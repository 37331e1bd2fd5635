package rillyard.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import rillyard.ledger.Outcome;
import rillyard.timing.Timers;

/** A target on the virtual clock: the test says after how long each try ends, and how. */
final class FakeTransport implements Transport {
    /** What becomes of a try: its end after {@code ms}, or nothing at all if it is null. */
    record Fate(double ms, End end) {
        static Fate of(double ms, Outcome o, int status) {
            return new Fate(ms, new End(o, status, 0));
        }

        static Fate served(double ms) {
            return of(ms, Outcome.SERVED, 200);
        }

        static Fate refused(double ms, double retryAfterMs) {
            return new Fate(ms, new End(Outcome.REFUSED, 503, (long) (1_000 * retryAfterMs)));
        }

        static Fate silence() {
            return new Fate(0, null);
        }
    }

    final List<Try> tries = new ArrayList<>();
    final List<Long> at = new ArrayList<>();
    int abandoned;
    private final Timers timers;
    private final Function<Try, Fate> fates;

    FakeTransport(Timers timers, Function<Try, Fate> fates) {
        this.timers = timers;
        this.fates = fates;
    }

    @Override
    public Sent send(Try t, Listener listener) {
        tries.add(t);
        at.add(timers.now());
        Fate f = fates.apply(t);
        Timers.Timer due =
                f.end() == null ? () -> {} : timers.after((long) (1e6 * f.ms()), () -> listener.ended(f.end()));
        return () -> {
            abandoned++;
            due.cancel();
        };
    }
}
