package rillyard.requestlog;

/** How a client's attempt ended, as the client saw it. */
public enum ClientOutcome {
    /** A complete response 200 that belongs to this request. */
    SERVED,
    /** Rejected with 429 or 503: a retry is harmless. */
    REFUSED,
    /** Any other status. */
    FAILED,
    /** The client left before its stated time was up; no answer is owed. */
    ABANDONED,
    /** No complete response within the stated timeout and the grace period after it. */
    UNANSWERED,
    /** The connection ended after the complete request and before the complete response. */
    BROKEN,
    /** A response that is malformed, or that belongs to another request. */
    GARBLED,
    /** No connection, or one that ended before the complete request was written: it was not accepted. */
    UNREACHABLE,
    /**
     * A cached connection was closed as the request was sent, and nothing was forwarded: the target may close a
     * connection between requests. The same request is sent once more on a new connection.
     */
    STALE,
    /** Never sent: the load generator had reached its own limit. */
    NOT_SENT;

    /** Returns whether the client knows that the target gave no final response. */
    public boolean isLost() {
        return this == UNANSWERED || this == BROKEN || this == GARBLED;
    }
}
