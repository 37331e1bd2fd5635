package rillyard.balancer;

import java.util.List;
import java.util.stream.DoubleStream;

/**
 * Selects the subset of hosts among which this proxy chooses: a window on the ring of hosts that starts at the proxy's
 * position. The cost of a selection depends on the size of the window, not on the number of hosts.
 */
final class SubsetSelector {
    /** Minimum slowness assumed of a host: its first few responses may make it look faster than any host is. */
    private static final double MIN_SLOWNESS = 0.05;

    /**
     * With unchanged hosts, the subset is reduced only when it is this many times larger than wanted, as each change
     * costs connections.
     */
    private static final int MAX_OVERSIZE = 2;

    private static final long NO_VERSION = -1; // less than any version of the ready hosts

    private final Settings settings;
    private final HostSet hosts;
    private final LoadEstimator load;
    private HostSubset subset;
    private int size;
    private SubsetPosition position;
    private long subsetVersion = NO_VERSION; // version of the ready hosts from which the subset was selected

    SubsetSelector(Settings settings, HostSet hosts, LoadEstimator load) {
        this.settings = settings;
        this.hosts = hosts;
        this.load = load;
        int index = Math.floorMod(settings.proxyIndex(), settings.proxyCount());
        moveTo(new SubsetPosition(index, settings.proxyCount(), 1, false));
    }

    /** Moves the subset to another position, from the next selection on. */
    void moveTo(SubsetPosition newPosition) {
        position = newPosition;
        subsetVersion = NO_VERSION;
    }

    /** Returns the subset, selected again if the hosts have changed or its size doesn't fit {@code peakInFlight}. */
    HostSubset select(double peakInFlight, double nowMillis) {
        // Limits how many proxies connect to a host; the connections in use don't depend on the subset size.
        double shared = Tuning.MAX_PROXIES_PER_HOST * hosts.ready().size() / settings.proxyCount();
        double maxSize = Math.max(Math.max(Tuning.MIN_CANDIDATES, shared), peakInFlight);
        double wanted = Tuning.BASE_SUBSET_SIZE + Tuning.SUBSET_HOSTS_PER_IN_FLIGHT * peakInFlight;
        int wantedSize = (int) (position.weight() * Math.min(wanted, maxSize));
        if (subsetVersion != hosts.readyVersion() || wantedSize > size || wantedSize < size / MAX_OVERSIZE) {
            size = wantedSize;
            subsetVersion = hosts.readyVersion();
            List<HostState> local = window(hosts.readyLocal());
            List<HostState> remote = window(hosts.readyRemote());
            int candidates = candidatesFor(local.isEmpty() ? remote : local, nowMillis);
            subset = new HostSubset(local, remote, candidates, position.preferWarmingUp());
        }
        return subset;
    }

    /**
     * Returns this proxy's window. The windows of all proxies start evenly spaced, so that each host is in the same
     * number of them.
     */
    private List<HostState> window(HostRing ring) {
        int start = (int) ((double) position.position() * ring.size() / position.proxyCount());
        return ring.window(start, size);
    }

    /**
     * Returns the smallest permitted number of candidates with which slow hosts get no more than their share of
     * attempts.
     */
    private int candidatesFor(List<HostState> pool, double nowMillis) {
        double[] speeds = pool.stream()
                .mapToDouble(host -> 1 / Math.max(MIN_SLOWNESS, load.slowness(host, nowMillis)))
                .sorted()
                .toArray();
        int proxyShare = Tuning.FLEET_CANDIDATES / settings.proxyCount();
        int maxCount = Math.max(Tuning.MAX_CANDIDATES, proxyShare);
        int count = Math.max(Tuning.MIN_CANDIDATES, Math.min(pool.size() - 1, proxyShare));
        while (count < maxCount && !isSufficient(speeds, count)) {
            count++;
        }
        return count;
    }

    /**
     * Returns whether, with this number of candidates, the n slowest hosts get no larger share of the attempts than of
     * the total speed, for every n.
     */
    private static boolean isSufficient(double[] speeds, int candidates) {
        double total = DoubleStream.of(speeds).sum();
        double speedOfSlowest = 0;
        for (int slowest = 1; slowest < speeds.length; slowest++) {
            speedOfSlowest += speeds[slowest - 1];
            if (speedOfSlowest < Sampling.probabilityWithin(slowest, speeds.length, candidates) * total) {
                return false;
            }
        }
        return true;
    }
}
