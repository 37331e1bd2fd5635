package rillyard.balancer;

import java.util.List;
import java.util.stream.DoubleStream;

/**
 * Selects the part of the hosts among which this proxy chooses: a window on the ring of hosts that starts at its place. A
 * cut looks at the hosts of the window only, however many others there are.
 */
final class SubsetSelector {
    /** The least slowness taken of a host: the few first answers may make one look faster than any is. */
    private static final double MIN_SLOWNESS = 0.05;

    /** The subset is cut anew once it is this many times larger than wanted: each cut costs connections. */
    private static final int MAX_OVERSIZE = 2;

    private static final long NEVER_CUT = -1; // less than any version of the ready hosts

    private final Settings settings;
    private final HostSet hosts;
    private final LoadEstimator load;
    private HostSubset subset;
    private int size;
    private SubsetPosition position;
    private long cutVersion = NEVER_CUT; // of the ready hosts from which the subset was cut

    SubsetSelector(Settings settings, HostSet hosts, LoadEstimator load) {
        this.settings = settings;
        this.hosts = hosts;
        this.load = load;
        int index = Math.floorMod(settings.proxyIndex(), settings.proxyCount());
        moveTo(new SubsetPosition(index, settings.proxyCount(), 1, false));
    }

    /** Moves the subset to another position with the next selection. */
    void moveTo(SubsetPosition newPosition) {
        position = newPosition;
        cutVersion = NEVER_CUT;
    }

    /** Returns the subset, cut anew if the hosts have changed or its size does not fit {@code peakInFlight}. */
    HostSubset select(double peakInFlight, double nowMillis) {
        // Bounds the connections of all proxies together at a host; those in use add up to the same.
        double shared = Tuning.MAX_PROXIES_PER_HOST * hosts.ready().size() / settings.proxyCount();
        double most = Math.max(Math.max(Tuning.MIN_CANDIDATES, shared), peakInFlight);
        double wanted = Tuning.BASE_SUBSET_SIZE + Tuning.SUBSET_HOSTS_PER_IN_FLIGHT * peakInFlight;
        int wantedSize = (int) (position.weight() * Math.min(wanted, most));
        if (cutVersion != hosts.readyVersion() || wantedSize > size || wantedSize < size / MAX_OVERSIZE) {
            size = wantedSize;
            cutVersion = hosts.readyVersion();
            List<HostState> local = window(hosts.readyLocal());
            List<HostState> remote = window(hosts.readyRemote());
            int candidates = candidatesFor(local.isEmpty() ? remote : local, nowMillis);
            subset = new HostSubset(local, remote, candidates, position.preferWarmingUp());
        }
        return subset;
    }

    /** The windows of all proxies start evenly spaced, so that each host is in as many of them. */
    private List<HostState> window(HostRing ring) {
        int start = (int) ((double) position.position() * ring.size() / position.proxyCount());
        return ring.window(start, size);
    }

    /** Returns the least permitted number of candidates with which slow hosts get no more than their part. */
    private int candidatesFor(List<HostState> pool, double nowMillis) {
        double[] speeds = pool.stream()
                .mapToDouble(host -> 1 / Math.max(MIN_SLOWNESS, load.slowness(host, nowMillis)))
                .sorted()
                .toArray();
        int proxyShare = Tuning.FLEET_CANDIDATES / settings.proxyCount();
        int most = Math.max(Tuning.MAX_CANDIDATES, proxyShare);
        int count = Math.max(Tuning.MIN_CANDIDATES, Math.min(pool.size() - 1, proxyShare));
        while (count < most && !suffices(speeds, count)) {
            count++;
        }
        return count;
    }

    /** Whether any number of the slowest hosts has as much of the speed as of the attempts with so many candidates. */
    private static boolean suffices(double[] speeds, int candidates) {
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
