package rillyard.requestlog;

/** How a client's try ended, as the client saw it. */
public enum ClientOutcome {
    /** A whole answer 200 that was made for this request. */
    SERVED,
    /** 429 or 503: trying again is harmless. */
    REFUSED,
    /** Any other status. */
    FAILED,
    /** The client left before its stated time was up; no answer is owed. */
    ABANDONED,
    /** No whole answer when the stated time and the grace behind it were up. */
    UNANSWERED,
    /** The connection ended behind the whole request and before the whole answer. */
    BROKEN,
    /** An answer that can't be read, or that was made for another request. */
    GARBLED,
    /** No connection, or one that ended before the whole request was written: it was not taken. */
    UNREACHABLE,
    /**
     * A kept connection ended as the request went out, with nothing sent on it: the target may close a
     * connection between requests. The same request is sent once more on a new one.
     */
    STALE,
    /** Never sent: the generator was at its own bound. */
    NOT_SENT;

    /** Whether the client knows that the target gave no final answer. */
    public boolean isLost() {
        return this == UNANSWERED || this == BROKEN || this == GARBLED;
    }
}
