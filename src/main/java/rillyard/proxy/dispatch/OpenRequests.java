package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.hotrestart.RequestIdTable;

/** Holds the exchanges that have not ended, and assigns and tracks the ids of requests. */
final class OpenRequests {
    private final Map<Long, RequestExchange> exchanges = new HashMap<>();
    private RequestIdTable requestIds = RequestIdTable.ofProcess();
    private long nextId;

    /** Returns a new id for the balancer, counted from 0. */
    long nextId() {
        return nextId++;
    }

    void add(RequestExchange exchange) {
        exchanges.put(exchange.id(), exchange);
        requestIds.add(exchange.requestId());
    }

    /** Removes an exchange, if it was added; the id that its client chose stays known. */
    void remove(RequestExchange exchange) {
        exchanges.remove(exchange.id());
    }

    /** From now on shares the ids of requests with other processes; to be called before the first request. */
    void shareRequestIds(RequestIdTable shared) {
        requestIds = shared;
    }

    /** Returns the exchange with this id, which {@link #nextId} assigned, or null if it has ended. */
    RequestExchange get(long id) {
        return exchanges.get(id);
    }

    int size() {
        return exchanges.size();
    }

    /** Fails all requests that have no response yet. */
    void failAll() {
        for (RequestExchange exchange : snapshot()) {
            exchange.failWithoutDecision();
        }
    }

    /** Ends the overdue requests and returns their number; for the times see {@link RequestExchange#endIfOverdue}. */
    int endOverdue(double nowMillis, double stallMillis) {
        int ended = 0;
        for (RequestExchange exchange : snapshot()) {
            if (exchange.endIfOverdue(nowMillis, stallMillis)) {
                ended++;
            }
        }
        return ended;
    }

    /** Returns a copy of the open exchanges, as those that end are removed during an iteration. */
    private List<RequestExchange> snapshot() {
        return new ArrayList<>(exchanges.values());
    }

    /** Returns whether a request with this id, which its client chose, is open or has ended recently. */
    boolean isKnown(String requestId) {
        return requestIds.contains(requestId);
    }
}
