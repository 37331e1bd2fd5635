package rillyard.testserver;

/**
 * What a host can do.
 *
 * @param id its id; a host that is replaced has a new one
 * @param zone its zone
 * @param kind its kind of machine
 * @param cell the hosts of a cell share the memory of keys
 * @param cores requests that run at a time
 * @param speed work (ms) that a core does in one, once warm
 * @param queue requests that wait at most; further ones are rejected
 * @param connections connections at most; further ones are rejected
 * @param handshakeMillis how long the first request on a new connection waits
 * @param handshakeWorkMillis work that a new connection costs a core
 * @param idleMillis a connection that has stood idle for so long is closed
 * @param warmUpMillis how long a host that has started takes to become warm
 * @param initialCapacityShare share of its speed with which it starts, above 0
 * @param startsWarmingUp whether it is cold when the test cluster starts
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

    /** The same machine under another id. */
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
