package rillyard.balancer;

/**
 * An entry of the endpoint list.
 *
 * @param zone the host's zone, may be null
 * @param machineKind the host's kind of machine; hosts of one kind are expected to be about equally fast
 * @param cell the host's cell, a group of hosts that share the memory of idempotency keys
 * @param startedAtMillis when the host's process started or an operator enabled it again (ms of the balancer's clock);
 *     0 for long ago
 */
public record EndpointEntry(
        long id, String zone, String machineKind, long cell, Condition condition, double startedAtMillis) {
    /** The condition of a host according to the endpoint list. */
    public enum Condition {
        /** The host accepts requests. */
        READY,
        /** The host is draining: it gets no new requests, but still responds to those in flight. */
        TERMINATING,
        /** The host is no longer part of the deployment. */
        GONE
    }
}
