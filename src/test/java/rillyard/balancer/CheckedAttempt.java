package rillyard.balancer;

/** An attempt as {@link RandomWorld} records it, independently of the balancer. */
final class CheckedAttempt {
    final long host;
    final double sentAtMillis;
    AttemptOutcome outcome;

    CheckedAttempt(long host, double atMillis) {
        this.host = host;
        this.sentAtMillis = atMillis;
    }

    boolean mayHaveExecuted() {
        return outcome == null
                || !(outcome == AttemptOutcome.REJECTED
                        || outcome == AttemptOutcome.CONNECT_FAILED
                        || outcome == AttemptOutcome.NOT_SENT
                        || outcome == AttemptOutcome.LOCAL_FAILURE);
    }
}
