package rillyard.proxy.resources;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * The part of the {@link HeaderMemoryBudget} that one connection uses for messages that it is receiving, or has received
 * and not begun to handle. Its decoder fills the header sections that the account creates.
 *
 * <p>Confined to the event loop.
 */
public final class HeaderMemoryAccount implements HttpHeadersFactory {
    private final HeaderMemoryBudget budget;
    private final Runnable endReception;
    private long receivedBytes;
    private ReceivedHeaders latest;

    /**
     * Creates an unused account.
     *
     * @param endReception ends the reception of requests on this connection when others need the memory; null if it
     *     can't be ended
     */
    public HeaderMemoryAccount(HeaderMemoryBudget budget, Runnable endReception) {
        this.budget = budget;
        this.endReception = endReception;
    }

    @Override
    public HttpHeaders newHeaders() {
        latest = new ReceivedHeaders(this);
        return latest;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Returns the bytes charged for messages that no request in progress has taken over. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Charges bytes; returns false if the budget is exhausted and the reception has to end. */
    boolean charge(long bytes) {
        receivedBytes += bytes;
        if (endReception != null) {
            budget.setEvictable(this, true);
        }
        return budget.charge(this, bytes);
    }

    void evict() {
        discard();
        endReception.run();
    }

    /** Returns the charged bytes to the budget, as no received message is needed any more. */
    public void release() {
        budget.setEvictable(this, false);
        budget.release(receivedBytes);
        receivedBytes = 0;
        latest = null;
    }

    /** As {@link #release}; also drops the fields of an incomplete message, which the decoder still references. */
    public void discard() {
        if (latest != null) {
            latest.discard();
        }
        release();
    }

    /** Moves the bytes of one message to a request in progress; returns false if these hold too much already. */
    boolean beginProgress(long bytes) {
        if (!budget.beginProgress(bytes)) {
            return false;
        }
        latest = null;
        receivedBytes -= bytes;
        if (receivedBytes <= 0) {
            budget.setEvictable(this, false);
        }
        return true;
    }

    void endProgress(long bytes) {
        budget.endProgress(bytes);
    }
}
