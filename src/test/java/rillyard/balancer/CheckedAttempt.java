package rillyard.balancer;

/** What {@link RandomWorld} itself knows of an attempt. */
final class CheckedAttempt {
    final long host;
    final double sentAt;
    AttemptOutcome outcome;

    CheckedAttempt(long host, double at) {
        this.host = host;
        this.sentAt = at;
    }

    boolean mayHaveExecuted() {
        return outcome == null
                || !(outcome == AttemptOutcome.REJECTED
                        || outcome == AttemptOutcome.CONNECT_FAILED
                        || outcome == AttemptOutcome.NOT_SENT
                        || outcome == AttemptOutcome.LOCAL_FAILURE);
    }
}
