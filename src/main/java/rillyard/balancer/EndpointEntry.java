package rillyard.balancer;

/**
 * One entry of an endpoint list.
 *
 * @param zone the host's zone, may be null
 * @param machineKind its kind of machine; hosts of one kind are expected to be about equally fast
 * @param cell its cell, a group of hosts that share the memory of idempotency keys
 * @param startedAtMillis when its process started, or was enabled again by an operator (ms of the balancer's clock), 0 for
 *     long ago
 */
public record EndpointEntry(
        long id, String zone, String machineKind, long cell, Condition condition, double startedAtMillis) {
    /** The condition of a host by the endpoint list. */
    public enum Condition {
        /** It accepts requests. */
        READY,
        /** It drains: it gets no new requests, but still answers. */
        TERMINATING,
        /** It is no longer part of the deployment. */
        GONE
    }
}
