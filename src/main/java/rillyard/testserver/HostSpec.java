package rillyard.testserver;

/**
 * Capacity and location of a simulated host.
 *
 * @param id host id; unique in a cluster
 * @param zone availability zone
 * @param kind machine type
 * @param cell number of the cell; hosts of a cell share idempotency keys of scope {@code CELL}
 * @param cores number of requests that run at a time
 * @param speed milliseconds of work that a warmed-up core does per millisecond
 * @param queue number of requests that may wait; further ones are rejected
 * @param connections number of connections; requests on further ones are rejected
 * @param handshakeMillis delay in milliseconds before the first request on a new connection is handled
 * @param handshakeWorkMillis core time in milliseconds that a new connection costs
 * @param idleMillis time in milliseconds after which an idle connection is closed
 * @param warmUpMillis time in milliseconds from start to full capacity
 * @param initialCapacityShare share of the speed at the start of the warm-up, above 0 and at most 1
 * @param startsWarmingUp whether the host warms up when the cluster starts
 */
public record HostSpec(
        String id,
        String zone,
        String kind,
        long cell,
        int cores,
        double speed,
        int queue,
        int connections,
        double handshakeMillis,
        double handshakeWorkMillis,
        double idleMillis,
        double warmUpMillis,
        double initialCapacityShare,
        boolean startsWarmingUp) {

    /** Returns a copy of this specification with another id. */
    HostSpec withId(String newId) {
        return new HostSpec(
                newId,
                zone,
                kind,
                cell,
                cores,
                speed,
                queue,
                connections,
                handshakeMillis,
                handshakeWorkMillis,
                idleMillis,
                warmUpMillis,
                initialCapacityShare,
                startsWarmingUp);
    }
}
