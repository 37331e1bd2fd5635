package rillyard.proxy.dispatch;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of requests that are open or were until a moment ago. Guards against a client that sends
 * the id of another's request, to be served what was made for that one; hosts turn such a request
 * away, and would be blamed for it. An id is free again after {@link #KEEP_NANOS}, or sooner when
 * very many follow it. It does harm only to a client that uses an id twice, which none may.
 */
final class RequestIdCache {
    private static final long KEEP_NANOS = 2_000_000_000L;
    private static final int MAX_CLOSED = 4_096;

    private record Closed(String id, long at) {}

    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Closed> closed = new ArrayDeque<>();

    void onOpened(String id) {
        ids.add(id);
    }

    void onClosed(String id, long now) {
        closed.add(new Closed(id, now));
        expire(now);
    }

    boolean contains(String id, long now) {
        expire(now);
        return ids.contains(id);
    }

    private void expire(long now) {
        Closed c;
        while ((c = closed.peek()) != null && (closed.size() > MAX_CLOSED || now - c.at() > KEEP_NANOS)) {
            closed.poll();
            ids.remove(c.id());
        }
    }
}
