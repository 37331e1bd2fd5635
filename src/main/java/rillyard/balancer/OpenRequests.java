package rillyard.balancer;

import java.util.HashMap;
import java.util.Map;

/** The requests that wait for their final response or have attempts in flight. Not thread-safe. */
final class OpenRequests {
    private final Map<Long, RequestState> byId = new HashMap<>();

    /** Returns the request with this id, null if it is not open. */
    RequestState get(long id) {
        return byId.get(id);
    }

    /** Returns the request with this id, null if it is not open or has its final response. */
    RequestState awaitingResponse(long id) {
        RequestState request = byId.get(id);
        return request == null || request.isEnded() ? null : request;
    }

    void add(RequestState request) {
        byId.put(request.id(), request);
    }

    /** Removes the request if it has its final response and no attempt in flight. */
    void removeIfDone(RequestState request) {
        if (request.isEnded() && request.openAttempts() == 0) {
            byId.remove(request.id());
        }
    }
}
