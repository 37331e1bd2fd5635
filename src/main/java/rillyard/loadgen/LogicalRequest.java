package rillyard.loadgen;

import java.util.random.RandomGenerator;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.Scheduler;

/**
 * One request of a client, over all of its tries: when each is given up, whether there is another,
 * and when. Knows no sockets, and runs on whatever clock it is given.
 */
final class LogicalRequest implements Transport.Listener {
    /** What a call needs and reports to. */
    interface Context {
        Scheduler timers();

        Transport transport();

        ClientSpec clients();

        RandomGenerator random();

        /** A new id, or key. */
        String name(int digits);

        /** A try has ended. */
        void tried(LogicalRequest call, ClientAttempt line);

        /** The request is over with this outcome. */
        void over(LogicalRequest call, ClientOutcome outcome, long endedAt);
    }

    final long number;
    final ScheduledRequest arrival;
    final long intended;
    private final Context host;
    private final String key;
    private final long deadline;
    private final boolean heeds;
    private long firstSent;
    private String id;
    private int tries;
    private int retries;
    private long sentAt;
    private long timeoutNanos;
    private Transport.PendingAttempt sent;
    private Scheduler.ScheduledTask timer;
    private boolean over;

    /** {@code intended} is when the schedule has it be sent, on the clock of the timers. */
    LogicalRequest(long number, ScheduledRequest arrival, long intended, Context host) {
        this.number = number;
        this.arrival = arrival;
        this.intended = intended;
        this.host = host;
        this.key = arrival.type().semantics().keyed() ? host.name(32) : null;
        this.deadline = intended + nanos(arrival.type().deadlineMs());
        this.heeds = host.random().nextDouble() < host.clients().heeding();
    }

    private static long nanos(double ms) {
        return (long) (1e6 * ms);
    }

    /** When its first try was really sent. */
    long firstSent() {
        return firstSent;
    }

    /** Sends the first try. */
    void begin() {
        firstSent = host.timers().now();
        attempt(host.name(16), false, false);
    }

    /** It can't be sent: the generator is at its bound. */
    void notSent() {
        sentAt = host.timers().now();
        firstSent = sentAt;
        id = host.name(16);
        end(ClientOutcome.NOT_SENT, 0, 0, false);
    }

    /** The run is over: leaves, if it is still under way. */
    void leave() {
        if (!over) {
            giveUp(ClientOutcome.ABANDONED, false);
        }
    }

    private void attempt(String as, boolean retried, boolean fresh) {
        ClientSpec spec = host.clients();
        id = as;
        sentAt = host.timers().now();
        long left = deadline - sentAt;
        double share = spec.leastShare()
                + (spec.mostShare() - spec.leastShare()) * host.random().nextDouble();
        long patience =
                Math.max(1_000_000, Math.min(left, nanos(share * arrival.type().deadlineMs())));
        timeoutNanos = Math.max(1_000_000, spec.announced() ? patience : left);
        sent = host.transport()
                .send(
                        new Transport.OutgoingRequest(
                                id,
                                key,
                                arrival.type(),
                                arrival.tenant(),
                                arrival.routeKey(),
                                arrival.client(),
                                timeoutNanos / 1_000_000,
                                retried,
                                fresh),
                        this);
        if (host.random().nextDouble() < spec.impatient()) {
            long leaves = (long) (host.random().nextDouble() * patience);
            timer = host.timers().scheduleAt(sentAt + leaves, () -> giveUp(ClientOutcome.ABANDONED, true));
        } else if (spec.announced() || patience >= left) {
            timer = host.timers()
                    .scheduleAt(
                            sentAt + patience + nanos(spec.graceMs()), () -> giveUp(ClientOutcome.UNANSWERED, true));
        } else {
            timer = host.timers().scheduleAt(sentAt + patience, () -> giveUp(ClientOutcome.ABANDONED, true));
        }
    }

    private void giveUp(ClientOutcome how, boolean mayRetry) {
        if (sent != null) {
            sent.abandon();
            sent = null;
            end(how, 0, 0, mayRetry);
        } else {
            timer.cancel(); // it waits for its next try
            finish(how);
        }
    }

    @Override
    public void ended(Transport.AttemptResult result) {
        if (over || sent == null) {
            return;
        }
        sent = null;
        timer.cancel();
        end(result.outcome(), result.status(), result.retryAfter(), true);
    }

    private void end(ClientOutcome outcome, int status, long retryAfter, boolean mayRetry) {
        long now = host.timers().now();
        tries++;
        long wait = mayRetry ? waitBeforeNext(outcome, retryAfter, now) : -1;
        host.tried(
                this,
                new ClientAttempt(
                        number,
                        tries - 1,
                        id,
                        key,
                        arrival.type().name(),
                        arrival.tenant(),
                        arrival.client(),
                        UnixClock.micros(intended),
                        UnixClock.micros(sentAt),
                        UnixClock.micros(now),
                        timeoutNanos / 1_000,
                        outcome,
                        status,
                        retryAfter,
                        wait < 0));
        if (wait < 0) {
            finish(outcome);
        } else if (outcome == ClientOutcome.STALE) {
            attempt(id, false, true); // the same one once more, as it was not taken
        } else {
            retries++;
            timer = host.timers().scheduleAfter(wait, () -> attempt(host.name(16), true, false));
        }
    }

    /** How long (ns) until the next try, or below 0 if there is none. */
    private long waitBeforeNext(ClientOutcome outcome, long retryAfter, long now) {
        ClientSpec spec = host.clients();
        if (outcome == ClientOutcome.SERVED || outcome == ClientOutcome.NOT_SENT || tries >= spec.attempts()) {
            return -1;
        }
        if (outcome == ClientOutcome.STALE) {
            return 0;
        }
        if (retries >= spec.retries() || !mayRepeat(outcome, now)) {
            return -1;
        }
        long wait = nanos(spec.pauseMs() * Math.pow(spec.growth(), retries));
        if (retryAfter > 0 && heeds) {
            wait = Math.max(wait, Math.min(1_000 * retryAfter, nanos(spec.mostRetryAfterMs())));
        }
        return now + wait < deadline - 1_000_000 ? wait : -1;
    }

    /** What clients may send again: all that was not taken, and of the rest what does no harm. */
    private boolean mayRepeat(ClientOutcome outcome, long now) {
        if (outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.UNREACHABLE) {
            return true;
        }
        LoadClass requestClass = arrival.type();
        return switch (requestClass.semantics()) {
            case IDEMPOTENT -> true;
            case KEYED_EVERYWHERE -> now - firstSent < nanos(requestClass.windowMs());
            case KEYED, AT_MOST_ONCE -> false;
        };
    }

    private void finish(ClientOutcome outcome) {
        over = true;
        host.over(this, outcome, host.timers().now());
    }
}
