package rillyard.proxy.resources;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The heap budget of all parsed header sections, of requests and of responses.
 *
 * <p>A parsed header field takes many times the bytes in which it was sent, so the limits on one message do not bound
 * the heap that all connections use together. When the budget is exhausted, the connection that has received the most
 * of incomplete or pipelined requests is ended first. Confined to the event loop.
 */
public final class HeaderMemoryBudget {
    /** Share of the heap for header sections; a live set of half the heap keeps collections short. */
    private static final double HEAP_SHARE = 0.2;

    /** Share of the budget for requests in progress, which can't be ended for others. */
    private static final double IN_PROGRESS_SHARE = 0.5;

    private final long limitBytes;
    private final Set<HeaderMemoryAccount> evictable = new LinkedHashSet<>();
    private long usedBytes;
    private long inProgressBytes;

    /** Creates an unused budget of so many bytes. */
    public HeaderMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates an unused budget of the default share of this JVM's heap. */
    public static HeaderMemoryBudget ofHeap() {
        return new HeaderMemoryBudget((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /** Returns the charged bytes. */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Charges bytes to an account and ends the largest receptions of others while the budget is exhausted.
     *
     * @return false if the budget is still exhausted, because this account has received the most or no other can be
     *     ended
     */
    boolean charge(HeaderMemoryAccount account, long bytes) {
        usedBytes += bytes;
        while (usedBytes > limitBytes) {
            HeaderMemoryAccount largest = largestEvictable(account);
            if (largest == account) {
                return false;
            }
            largest.evict();
        }
        return true;
    }

    private HeaderMemoryAccount largestEvictable(HeaderMemoryAccount charged) {
        HeaderMemoryAccount largest = charged;
        for (HeaderMemoryAccount account : evictable) {
            if (account.receivedBytes() > largest.receivedBytes()) {
                largest = account;
            }
        }
        return largest;
    }

    /** Records whether the account has received bytes that can be released by ending their reception. */
    void setEvictable(HeaderMemoryAccount account, boolean isEvictable) {
        if (isEvictable) {
            evictable.add(account);
        } else {
            evictable.remove(account);
        }
    }

    /** Returns received bytes to the budget. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    /** Records that a request with so many charged bytes is in progress; returns false if there are too many. */
    boolean beginProgress(long bytes) {
        if (inProgressBytes + bytes > IN_PROGRESS_SHARE * limitBytes) {
            return false;
        }
        inProgressBytes += bytes;
        return true;
    }

    /** Returns the bytes of a request that was in progress to the budget. */
    void endProgress(long bytes) {
        inProgressBytes -= bytes;
        usedBytes -= bytes;
    }
}
