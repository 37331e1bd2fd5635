package rillyard.balancer;

/** The state of one attempt of a request at a host, without decision logic. Not thread-safe. */
final class AttemptState {
    private final RequestState request;
    private final int number;
    private final HostState host;
    private final String zone;
    private final long cell;
    private final double outstandingAtSend;
    private double sentAtMillis;
    private boolean open = true;
    private boolean mayHaveExecuted = true;
    private boolean cancelled;

    /**
     * Creates an attempt that is in flight.
     *
     * @param sentAtMillis time of the send (ms); infinite while the request's body is still being received
     * @param outstandingAtSend requests that the host held at that time, NaN if unknown
     */
    AttemptState(RequestState request, int number, HostState host, double sentAtMillis, double outstandingAtSend) {
        this.request = request;
        this.number = number;
        this.host = host;
        this.zone = host.zone();
        this.cell = host.cell();
        this.sentAtMillis = sentAtMillis;
        this.outstandingAtSend = outstandingAtSend;
    }

    RequestState request() {
        return request;
    }

    /** Returns the class of the request. */
    RequestClassStats requestClass() {
        return request.requestClass();
    }

    /** Returns the attempt's index among the attempts of its request, from 0. */
    int number() {
        return number;
    }

    HostState host() {
        return host;
    }

    /** Returns the host's zone at the time of the send; it may be null. */
    String zone() {
        return zone;
    }

    /** Returns the host's cell at the time of the send. */
    long cell() {
        return cell;
    }

    double sentAtMillis() {
        return sentAtMillis;
    }

    double outstandingAtSend() {
        return outstandingAtSend;
    }

    /** Returns whether the attempt has no outcome yet. */
    boolean isOpen() {
        return open;
    }

    /** Returns whether the host may have executed the request; true until an outcome proves otherwise. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Returns whether cancellation has been requested. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Records that cancellation has been requested. */
    void cancel() {
        cancelled = true;
    }

    /** Records that the request's last byte has been received. The attempt counts as sent from this time on. */
    void requestCompleted(double nowMillis) {
        sentAtMillis = Math.min(sentAtMillis, nowMillis);
    }

    /** Records the outcome here, in the request and in the host. */
    void end(AttemptOutcome outcome) {
        open = false;
        mayHaveExecuted = !outcome.provesNotExecuted();
        request.attemptEnded();
        host.attemptEnded(this);
    }
}
