package rillyard.requestlog;

/** How a client's attempt ended, as the client saw it. */
public enum ClientOutcome {
    /** A complete response 200 that belongs to this request. */
    SERVED,
    /** Rejected with 429 or 503: a retry is harmless. */
    REFUSED,
    /** A response with any other status. */
    FAILED,
    /** The client disconnected before its stated timeout, so that no response is required. */
    ABANDONED,
    /** No complete response within the stated timeout and the grace period after it. */
    UNANSWERED,
    /** The connection ended after the complete request and before the complete response. */
    BROKEN,
    /** A response that is malformed, or that belongs to another request. */
    GARBLED,
    /** No connection, or one that ended before the request was written completely: the request was not accepted. */
    UNREACHABLE,
    /**
     * A reused connection was closed while the request was being sent, and nothing was forwarded: the target may close
     * a connection between requests. The same request is sent once more on a new connection.
     */
    STALE,
    /** Never sent: the load generator had reached its own limit. */
    NOT_SENT;

    /** Returns whether the client knows that the target gave no final response. */
    public boolean isLost() {
        return this == UNANSWERED || this == BROKEN || this == GARBLED;
    }
}
