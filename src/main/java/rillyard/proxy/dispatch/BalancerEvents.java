package rillyard.proxy.dispatch;

import java.util.ArrayDeque;
import rillyard.proxy.logging.ProxyLog;

/**
 * Delivers events to the balancer one at a time, in the order in which they occurred. An event that an action of the
 * balancer causes at once is queued until the balancer has returned.
 */
final class BalancerEvents {
    private record Event(RequestExchange exchange, Runnable delivery) {}

    private static final String EVENT_FAILED = "balancer: event failed";

    private final ProxyLog log;
    private final ArrayDeque<Event> queue = new ArrayDeque<>();
    private boolean delivering;

    BalancerEvents(ProxyLog log) {
        this.log = log;
    }

    /** Delivers an event, now or after the queued ones; {@code exchange} is the request that it concerns, or null. */
    void deliver(RequestExchange exchange, Runnable delivery) {
        queue.add(new Event(exchange, delivery));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            Event event = queue.poll();
            while (event != null) {
                run(event);
                event = queue.poll();
            }
        } finally {
            delivering = false;
        }
    }

    /** Delivers an event; if the balancer throws, only the request that the event concerns fails. */
    private void run(Event event) {
        try {
            event.delivery().run();
        } catch (RuntimeException | Error e) {
            if (event.exchange() != null) {
                event.exchange().onFailure(EVENT_FAILED, e);
            } else {
                log.error(EVENT_FAILED, e);
            }
        }
    }
}
