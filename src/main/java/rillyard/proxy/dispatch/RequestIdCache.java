package rillyard.proxy.dispatch;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Holds the ids of requests that are open or have ended recently.
 *
 * <p>A second request with the id of another one could be served the other's response. Hosts reject such a request,
 * which would count as their failure. An id is removed {@link #RETENTION_NANOS} after the end of its request, or sooner
 * if {@link #MAX_CLOSED} others have ended since.
 */
final class RequestIdCache {
    private static final long RETENTION_NANOS = 2_000_000_000L;
    private static final int MAX_CLOSED = 4_096;

    private record ClosedRequest(String id, long closedAtNanos) {}

    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<ClosedRequest> closed = new ArrayDeque<>();

    /** Adds the id of a request that was opened. */
    void onOpened(String id) {
        ids.add(id);
    }

    /** Starts the retention of the id of a request that has ended. */
    void onClosed(String id, long nowNanos) {
        closed.add(new ClosedRequest(id, nowNanos));
        expire(nowNanos);
    }

    boolean contains(String id, long nowNanos) {
        expire(nowNanos);
        return ids.contains(id);
    }

    private void expire(long nowNanos) {
        ClosedRequest oldest = closed.peek();
        while (oldest != null && (closed.size() > MAX_CLOSED || nowNanos - oldest.closedAtNanos() > RETENTION_NANOS)) {
            closed.poll();
            ids.remove(oldest.id());
            oldest = closed.peek();
        }
    }
}
