package rillyard.loadgen;

import java.util.random.RandomGenerator;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.Scheduler;

/**
 * One request of a client, over all of its attempts: when each is given up, whether there is another,
 * and when. Does no I/O, and runs on whatever clock it is given.
 */
final class LogicalRequest implements Transport.Listener {
    /** What a call needs and reports to. */
    interface Context {
        Scheduler timers();

        Transport transport();

        ClientSpec clients();

        RandomGenerator random();

        /** A new id, or key. */
        String randomId(int digits);

        /** An attempt has ended. */
        void onAttemptEnded(LogicalRequest request, ClientAttempt line);

        /** The request is over with this outcome. */
        void onFinished(LogicalRequest request, ClientOutcome outcome, long endedAt);
    }

    final long number;
    final ScheduledRequest arrival;
    final long scheduledAt;
    private final Context context;
    private final String idempotencyKey;
    private final long deadline;
    private final boolean honorsRetryAfter;
    private long firstSent;
    private String id;
    private int attempts;
    private int retries;
    private long sentAt;
    private long timeoutNanos;
    private Transport.PendingAttempt pendingAttempt;
    private Scheduler.ScheduledTask timer;
    private boolean finished;

    /** {@code intended} is when the schedule has it be sent, on the clock of the timers. */
    LogicalRequest(long number, ScheduledRequest arrival, long intended, Context host) {
        this.number = number;
        this.arrival = arrival;
        this.scheduledAt = intended;
        this.context = host;
        this.idempotencyKey = arrival.requestClass().semantics().keyed() ? host.randomId(32) : null;
        this.deadline = intended + toNanos(arrival.requestClass().deadlineMs());
        this.honorsRetryAfter = host.random().nextDouble() < host.clients().retryAfterShare();
    }

    private static long toNanos(double ms) {
        return (long) (1e6 * ms);
    }

    /** When its first attempt was really sent. */
    long firstSent() {
        return firstSent;
    }

    /** Sends the first attempt. */
    void start() {
        firstSent = context.timers().now();
        attempt(context.randomId(16), false, false);
    }

    /** It can't be sent: the generator is at its bound. */
    void skip() {
        sentAt = context.timers().now();
        firstSent = sentAt;
        id = context.randomId(16);
        finishAttempt(ClientOutcome.NOT_SENT, 0, 0, false);
    }

    /** The run is over: leaves, if it is still under way. */
    void leave() {
        if (!finished) {
            abandonAttempt(ClientOutcome.ABANDONED, false);
        }
    }

    private void attempt(String as, boolean retried, boolean fresh) {
        ClientSpec spec = context.clients();
        id = as;
        sentAt = context.timers().now();
        long left = deadline - sentAt;
        double share = spec.minTimeoutShare()
                + (spec.maxTimeoutShare() - spec.minTimeoutShare())
                        * context.random().nextDouble();
        long patience = Math.max(
                1_000_000, Math.min(left, toNanos(share * arrival.requestClass().deadlineMs())));
        timeoutNanos = Math.max(1_000_000, spec.announcesTimeout() ? patience : left);
        pendingAttempt = context.transport()
                .send(
                        new Transport.OutgoingRequest(
                                id,
                                idempotencyKey,
                                arrival.requestClass(),
                                arrival.tenant(),
                                arrival.routeKey(),
                                arrival.client(),
                                timeoutNanos / 1_000_000,
                                retried,
                                fresh),
                        this);
        if (context.random().nextDouble() < spec.abandonShare()) {
            long leaves = (long) (context.random().nextDouble() * patience);
            timer = context.timers().scheduleAt(sentAt + leaves, () -> abandonAttempt(ClientOutcome.ABANDONED, true));
        } else if (spec.announcesTimeout() || patience >= left) {
            timer = context.timers()
                    .scheduleAt(
                            sentAt + patience + toNanos(spec.graceMs()),
                            () -> abandonAttempt(ClientOutcome.UNANSWERED, true));
        } else {
            timer = context.timers().scheduleAt(sentAt + patience, () -> abandonAttempt(ClientOutcome.ABANDONED, true));
        }
    }

    private void abandonAttempt(ClientOutcome how, boolean mayRetry) {
        if (pendingAttempt != null) {
            pendingAttempt.abandon();
            pendingAttempt = null;
            finishAttempt(how, 0, 0, mayRetry);
        } else {
            timer.cancel(); // it waits for its next try
            finish(how);
        }
    }

    @Override
    public void onEnded(Transport.AttemptResult result) {
        if (finished || pendingAttempt == null) {
            return;
        }
        pendingAttempt = null;
        timer.cancel();
        finishAttempt(result.outcome(), result.status(), result.retryAfterMicros(), true);
    }

    private void finishAttempt(ClientOutcome outcome, int status, long retryAfter, boolean mayRetry) {
        long now = context.timers().now();
        attempts++;
        long wait = mayRetry ? waitBeforeNext(outcome, retryAfter, now) : -1;
        context.onAttemptEnded(
                this,
                new ClientAttempt(
                        number,
                        attempts - 1,
                        id,
                        idempotencyKey,
                        arrival.requestClass().name(),
                        arrival.tenant(),
                        arrival.client(),
                        UnixClock.micros(scheduledAt),
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
            timer = context.timers().scheduleAfter(wait, () -> attempt(context.randomId(16), true, false));
        }
    }

    /** How long (ns) until the next try, or below 0 if there is none. */
    private long waitBeforeNext(ClientOutcome outcome, long retryAfter, long now) {
        ClientSpec spec = context.clients();
        if (outcome == ClientOutcome.SERVED || outcome == ClientOutcome.NOT_SENT || attempts >= spec.attempts()) {
            return -1;
        }
        if (outcome == ClientOutcome.STALE) {
            return 0;
        }
        if (retries >= spec.retries() || !mayRetry(outcome, now)) {
            return -1;
        }
        long wait = toNanos(spec.backoffMs() * Math.pow(spec.backoffFactor(), retries));
        if (retryAfter > 0 && honorsRetryAfter) {
            wait = Math.max(wait, Math.min(1_000 * retryAfter, toNanos(spec.maxRetryAfterMs())));
        }
        return now + wait < deadline - 1_000_000 ? wait : -1;
    }

    /** What clients may send again: all that was not taken, and of the rest what does no harm. */
    private boolean mayRetry(ClientOutcome outcome, long now) {
        if (outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.UNREACHABLE) {
            return true;
        }
        LoadClass requestClass = arrival.requestClass();
        return switch (requestClass.semantics()) {
            case IDEMPOTENT -> true;
            case KEYED_EVERYWHERE -> now - firstSent < toNanos(requestClass.idempotencyWindowMs());
            case KEYED, AT_MOST_ONCE -> false;
        };
    }

    private void finish(ClientOutcome outcome) {
        finished = true;
        context.onFinished(this, outcome, context.timers().now());
    }
}
