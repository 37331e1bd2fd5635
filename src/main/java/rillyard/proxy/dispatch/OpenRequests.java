package rillyard.proxy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The exchanges that have not ended, and the ids of requests. */
final class OpenRequests {
    private final Map<Long, RequestExchange> exchanges = new HashMap<>();
    private final RequestIdCache requestIds = new RequestIdCache();
    private long nextId;

    /** Returns a new id of the balancer's, from 0 on. */
    long nextId() {
        return nextId++;
    }

    void add(RequestExchange exchange) {
        exchanges.put(exchange.id(), exchange);
        requestIds.onOpened(exchange.requestId());
    }

    /** Removes an exchange, if it was added; its request's id stays known for a while. */
    void remove(RequestExchange exchange) {
        if (exchanges.remove(exchange.id()) != null) {
            requestIds.onClosed(exchange.requestId(), System.nanoTime());
        }
    }

    /** Returns the exchange with an id of the balancer's, null if it has ended. */
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

    /** Ends the requests whose deadline has passed and returns their number; times as of {@link RequestExchange#endIfOverdue}. */
    int endOverdue(double now, double stallMillis) {
        int ended = 0;
        for (RequestExchange exchange : snapshot()) {
            if (exchange.endIfOverdue(now, stallMillis)) {
                ended++;
            }
        }
        return ended;
    }

    /** Returns the open exchanges as of now: those that end are removed meanwhile. */
    private List<RequestExchange> snapshot() {
        return new ArrayList<>(exchanges.values());
    }

    /** Returns whether a request with this id of a client's is open, or was until a moment ago. */
    boolean isKnown(String requestId) {
        return requestIds.contains(requestId, System.nanoTime());
    }
}
