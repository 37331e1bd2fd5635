package rillyard.balancer;

/** One attempt of a request at a host: plain data. Not thread-safe. */
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
     * @param sentAtMillis when it was sent (ms); infinite while the request's body is still being received
     * @param outstandingAtSend requests the host held then, NaN if not known
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

    /** Returns the class of its request. */
    RequestClassStats requestClass() {
        return request.requestClass();
    }

    /** Returns its place among the request's attempts, from 0. */
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

    /** Whether its outcome is still to come. */
    boolean isOpen() {
        return open;
    }

    /** Whether the host may have executed the request; true until an outcome proves otherwise. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Whether its cancellation was asked for already. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Records that its cancellation is asked for. */
    void cancel() {
        cancelled = true;
    }

    /** Records that the request's last byte has been received: the attempt counts as sent from then on. */
    void requestCompleted(double nowMillis) {
        sentAtMillis = Math.min(sentAtMillis, nowMillis);
    }

    /** Records its outcome, at the request and at the host as well. */
    void end(AttemptOutcome outcome) {
        open = false;
        mayHaveExecuted = !outcome.provesNotExecuted();
        request.attemptEnded();
        host.attemptEnded(this);
    }
}
