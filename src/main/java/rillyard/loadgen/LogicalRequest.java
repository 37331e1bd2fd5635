package rillyard.loadgen;

import java.util.random.RandomGenerator;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.Scheduler;

/**
 * One request of a client over all of its attempts: decides when an attempt times out, and whether and when to retry.
 * Does no I/O and uses the scheduler's clock, real or virtual. Confined to the scheduler's thread.
 */
final class LogicalRequest implements Transport.Listener {
    /** The generator of a request, which provides its resources and records its results. */
    interface Context {
        /** Returns the clock and timers. */
        Scheduler scheduler();

        /** Returns the transport that attempts are sent with. */
        Transport transport();

        /** Returns the behaviour of the clients. */
        ClientSpec clients();

        /** Returns the source of random draws. */
        RandomGenerator random();

        /** Returns a new random id of this many hexadecimal digits. */
        String randomId(int digits);

        /** Called when an attempt has ended. */
        void onAttemptEnded(LogicalRequest request, ClientAttempt attempt);

        /**
         * Called when the request has ended.
         *
         * @param endedAtNanos end on the scheduler's clock
         */
        void onFinished(LogicalRequest request, ClientOutcome outcome, long endedAtNanos);
    }

    final long number;
    final ScheduledRequest scheduled;
    final long scheduledAtNanos;
    private final Context context;
    private final String idempotencyKey;
    private final long deadlineNanos;
    private final boolean honorsRetryAfter;
    private long firstSentAtNanos;
    private String id;
    private int attempts;
    private int retries;
    private long sentAtNanos;
    private long announcedTimeoutNanos;
    private Transport.PendingAttempt pendingAttempt;
    private Scheduler.ScheduledTask timer;
    private boolean finished;

    /**
     * Creates a request that has not been sent.
     *
     * @param number number in the run, from 0
     * @param scheduledAtNanos scheduled send time on the scheduler's clock
     */
    LogicalRequest(long number, ScheduledRequest scheduled, long scheduledAtNanos, Context context) {
        this.number = number;
        this.scheduled = scheduled;
        this.scheduledAtNanos = scheduledAtNanos;
        this.context = context;
        this.idempotencyKey = scheduled.requestClass().semantics().hasIdempotencyKey() ? context.randomId(32) : null;
        this.deadlineNanos = scheduledAtNanos + toNanos(scheduled.requestClass().deadlineMillis());
        this.honorsRetryAfter =
                context.random().nextDouble() < context.clients().retryAfterShare();
    }

    private static long toNanos(double ms) {
        return (long) (1e6 * ms);
    }

    /** Returns when the first attempt was actually sent, in nanoseconds of the scheduler's clock. */
    long firstSentAtNanos() {
        return firstSentAtNanos;
    }

    /** Sends the first attempt. */
    void start() {
        firstSentAtNanos = context.scheduler().now();
        sendAttempt(context.randomId(16), false, false);
    }

    /** Ends the request without sending it, as the generator has reached its limit of open requests. */
    void markNotSent() {
        sentAtNanos = context.scheduler().now();
        firstSentAtNanos = sentAtNanos;
        id = context.randomId(16);
        finishAttempt(ClientOutcome.NOT_SENT, 0, 0, false);
    }

    /** Abandons the request because the run is over. No effect if it has ended. */
    void abandon() {
        if (!finished) {
            abandonAttempt(ClientOutcome.ABANDONED, false);
        }
    }

    private void sendAttempt(String attemptId, boolean retried, boolean newConnection) {
        ClientSpec spec = context.clients();
        id = attemptId;
        sentAtNanos = context.scheduler().now();
        long remainingNanos = deadlineNanos - sentAtNanos;
        double share = spec.minTimeoutShare()
                + (spec.maxTimeoutShare() - spec.minTimeoutShare())
                        * context.random().nextDouble();
        long attemptTimeoutNanos = Math.max(
                1_000_000,
                Math.min(
                        remainingNanos, toNanos(share * scheduled.requestClass().deadlineMillis())));
        announcedTimeoutNanos = Math.max(1_000_000, spec.announcesTimeout() ? attemptTimeoutNanos : remainingNanos);
        pendingAttempt = context.transport()
                .send(
                        new Transport.OutgoingRequest(
                                id,
                                idempotencyKey,
                                scheduled.requestClass(),
                                scheduled.tenant(),
                                scheduled.routeKey(),
                                scheduled.client(),
                                announcedTimeoutNanos / 1_000_000,
                                retried,
                                newConnection),
                        this);
        if (context.random().nextDouble() < spec.abandonShare()) {
            long abandonAfterNanos = (long) (context.random().nextDouble() * attemptTimeoutNanos);
            timer = context.scheduler()
                    .scheduleAt(sentAtNanos + abandonAfterNanos, () -> abandonAttempt(ClientOutcome.ABANDONED, true));
        } else if (spec.announcesTimeout() || attemptTimeoutNanos >= remainingNanos) {
            timer = context.scheduler()
                    .scheduleAt(
                            sentAtNanos + attemptTimeoutNanos + toNanos(spec.graceMillis()),
                            () -> abandonAttempt(ClientOutcome.UNANSWERED, true));
        } else {
            timer = context.scheduler()
                    .scheduleAt(sentAtNanos + attemptTimeoutNanos, () -> abandonAttempt(ClientOutcome.ABANDONED, true));
        }
    }

    private void abandonAttempt(ClientOutcome outcome, boolean mayRetry) {
        if (pendingAttempt != null) {
            pendingAttempt.abandon();
            pendingAttempt = null;
            finishAttempt(outcome, 0, 0, mayRetry);
        } else {
            timer.cancel(); // the request is waiting for its retry
            finish(outcome);
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

    private void finishAttempt(ClientOutcome outcome, int status, long retryAfterMicros, boolean mayRetry) {
        long nowNanos = context.scheduler().now();
        attempts++;
        long delayNanos = mayRetry ? retryDelayNanos(outcome, retryAfterMicros, nowNanos) : -1;
        context.onAttemptEnded(
                this,
                new ClientAttempt(
                        number,
                        attempts - 1,
                        id,
                        idempotencyKey,
                        scheduled.requestClass().name(),
                        scheduled.tenant(),
                        scheduled.client(),
                        UnixClock.micros(scheduledAtNanos),
                        UnixClock.micros(sentAtNanos),
                        UnixClock.micros(nowNanos),
                        announcedTimeoutNanos / 1_000,
                        outcome,
                        status,
                        retryAfterMicros,
                        delayNanos < 0));
        if (delayNanos < 0) {
            finish(outcome);
        } else if (outcome == ClientOutcome.STALE) {
            sendAttempt(id, false, true); // the connection was stale, so the same attempt is sent again
        } else {
            retries++;
            timer = context.scheduler().scheduleAfter(delayNanos, () -> sendAttempt(context.randomId(16), true, false));
        }
    }

    /** Returns the delay in nanoseconds until the next attempt, or a negative value if there is none. */
    private long retryDelayNanos(ClientOutcome outcome, long retryAfterMicros, long nowNanos) {
        ClientSpec spec = context.clients();
        if (outcome == ClientOutcome.SERVED || outcome == ClientOutcome.NOT_SENT || attempts >= spec.attempts()) {
            return -1;
        }
        if (outcome == ClientOutcome.STALE) {
            return 0;
        }
        if (retries >= spec.retries() || !mayRetry(outcome, nowNanos)) {
            return -1;
        }
        long delayNanos = toNanos(spec.backoffMillis() * Math.pow(spec.backoffFactor(), retries));
        if (retryAfterMicros > 0 && honorsRetryAfter) {
            delayNanos = Math.max(delayNanos, Math.min(1_000 * retryAfterMicros, toNanos(spec.maxRetryAfterMillis())));
        }
        return nowNanos + delayNanos < deadlineNanos - 1_000_000 ? delayNanos : -1;
    }

    /**
     * Returns whether clients may send the request again: always if it was not processed, otherwise if a repeat is
     * harmless.
     */
    private boolean mayRetry(ClientOutcome outcome, long nowNanos) {
        if (outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.UNREACHABLE) {
            return true;
        }
        LoadClass requestClass = scheduled.requestClass();
        return switch (requestClass.semantics()) {
            case IDEMPOTENT -> true;
            case KEYED_EVERYWHERE -> nowNanos - firstSentAtNanos < toNanos(requestClass.idempotencyWindowMillis());
            case KEYED, AT_MOST_ONCE -> false;
        };
    }

    private void finish(ClientOutcome outcome) {
        finished = true;
        context.onFinished(this, outcome, context.scheduler().now());
    }
}
