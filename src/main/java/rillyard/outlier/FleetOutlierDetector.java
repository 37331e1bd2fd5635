package rillyard.outlier;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides which hosts this proxy ejects, and when it readmits them, from the last observations of all proxies.
 *
 * <p>Each proxy decides for itself by the same rule from nearly the same observations, without coordination.
 * Observations of peers can only keep requests away from a host. Times are on this proxy's clock. Not thread-safe.
 */
public final class FleetOutlierDetector {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Receives the decisions; hosts are given by {@link HostObservation#hostNumber}. */
    public interface Listener {
        /**
         * Is called when a host is ejected, or stays ejected after a failed probe.
         *
         * @param probeDelayMillis time for which the host gets no requests; it is probed afterwards
         * @param failedProxies number of proxies whose last attempt at the host failed
         * @param servedProxies number of proxies whose last attempt at the host succeeded
         */
        void onEjected(int host, double probeDelayMillis, int failedProxies, int servedProxies);

        /** Is called when a host is readmitted: it may get requests again after {@code delayMillis}. */
        void onReadmitted(int host, double delayMillis);
    }

    private final FleetOutlierSettings settings;
    private final RandomGenerator random;
    private final Listener listener;
    private final LocalObservations localObservations = new LocalObservations();
    private final Map<Integer, HostEjectionState> ejectionStates = new HashMap<>();

    /** Creates a detector without observations; {@code random} is its only source of randomness. */
    public FleetOutlierDetector(FleetOutlierSettings settings, RandomGenerator random, Listener listener) {
        this.settings = settings;
        this.random = random;
        this.listener = listener;
    }

    /** Records an attempt of this proxy whose outcome shows whether the host serves. */
    public void onAttemptEnded(int host, boolean failed, double nowMillis) {
        localObservations.record(host, failed, nowMillis);
        HostEjectionState state = ejectionStates.get(host);
        if (state != null && state.isEjected() && failed) {
            state.onProbeFailed();
        }
    }

    /**
     * Evaluates the observations of all proxies and reports changes to the listener.
     *
     * @param peers the observations of the other proxies that are present, one list each, with their ages as of now
     * @param proxyCount number of proxies present, including this one
     * @param hostCount number of listed hosts
     * @return this proxy's own observations to publish, the most important ones first
     */
    public List<HostObservation> evaluate(
            List<List<HostObservation>> peers, int proxyCount, int hostCount, double nowMillis) {
        // A proxy may use only a part of the hosts; this assumes that all proxies use as many as this one.
        double averageProxiesPerHost = (double) proxyCount
                * localObservations.countUsedHosts(settings.usageWindowMillis(), nowMillis)
                / Math.max(1, hostCount);
        double proxiesPerHost = Math.max(settings.quorum(), averageProxiesPerHost);
        Set<Integer> suspected = new TreeSet<>(ejectionStates.keySet());
        suspected.addAll(localObservations.failingHosts(settings.observationWindowMillis(), nowMillis));
        for (List<HostObservation> observations : peers) {
            for (HostObservation observation : observations) {
                if (observation.failed() && isRecent(observation)) {
                    suspected.add(observation.host());
                }
            }
        }
        List<HostObservation> own =
                localObservations.observations(suspected::contains, settings.observationWindowMillis(), nowMillis);
        Map<Integer, HostObservation> ownByHost =
                own.stream().collect(Collectors.toMap(HostObservation::host, observation -> observation));
        for (int host : suspected) {
            decide(host, ownByHost.get(host), peers, proxiesPerHost, nowMillis);
        }
        ejectionStates.entrySet().removeIf(entry -> isForgotten(entry.getKey(), entry.getValue(), nowMillis));
        return own;
    }

    private boolean isRecent(HostObservation observation) {
        return observation.ageMillis() < settings.observationWindowMillis();
    }

    /**
     * Returns whether no failure has been reported for so long that the host is treated as any other. An ejected host
     * is readmitted then: a proxy that is cut off from its peers would otherwise wait for its turn to probe among all
     * of them.
     */
    private boolean isForgotten(int host, HostEjectionState state, double nowMillis) {
        boolean forgotten = nowMillis - state.failureReportedAtMillis() > settings.forgetAfterMillis();
        if (forgotten && state.isEjected()) {
            readmit(host);
        }
        return forgotten;
    }

    /** Decides on one host; {@code own} is null if this proxy has no recent observation of it. */
    private void decide(
            int host, HostObservation own, List<List<HostObservation>> peers, double proxiesPerHost, double nowMillis) {
        HostEjectionState state = ejectionStates.computeIfAbsent(host, key -> new HostEjectionState());
        ObservationCount count = count(host, own, peers, state.changedAtMillis(), nowMillis);
        state.onEvaluated(count.failed() > 0, nowMillis);
        if (state.isEjected()) {
            decideReadmission(host, state, count, proxiesPerHost, nowMillis);
        } else {
            decideEjection(host, state, count, own, proxiesPerHost, nowMillis);
        }
    }

    /** Counts the observations of a host after {@code sinceMillis}, at most one of each proxy. */
    private ObservationCount count(
            int host, HostObservation own, List<List<HostObservation>> peers, double sinceMillis, double nowMillis) {
        boolean countsOwn = own != null && nowMillis - own.ageMillis() > sinceMillis;
        ObservationCount count = countsOwn ? ObservationCount.NONE.plus(own) : ObservationCount.NONE;
        for (List<HostObservation> observations : peers) {
            for (HostObservation observation : observations) {
                if (observation.host() == host
                        && isRecent(observation)
                        && nowMillis - observation.ageMillis() > sinceMillis) {
                    count = count.plus(observation);
                    break;
                }
            }
        }
        return count;
    }

    private void decideEjection(
            int host,
            HostEjectionState state,
            ObservationCount count,
            HostObservation own,
            double proxiesPerHost,
            double nowMillis) {
        int ownFailures = own != null && own.failed() ? 1 : 0;
        if (count.failed() > ownFailures) {
            state.suspect(nowMillis + count.newestFailureAgeMillis());
        } else {
            state.clearSuspicion();
        }
        // Observations of peers arrive late, so a success of this proxy after the newest failure of any proxy prevails.
        boolean servedSince = own != null && !own.failed() && own.ageMillis() < count.newestFailureAgeMillis();
        if (count.confirmsFailure(settings)
                && state.suspectedMillis(nowMillis) >= settings.confirmationTimeMillis()
                && !servedSince) {
            state.setEjected(true, nowMillis);
            listener.onEjected(host, probeDelayMillis(proxiesPerHost), count.failed(), count.served());
        }
    }

    private void decideReadmission(
            int host, HostEjectionState state, ObservationCount count, double proxiesPerHost, double nowMillis) {
        boolean probeFailed = state.takeProbeFailed();
        if (count.confirmsRecovery(settings)) {
            state.setEjected(false, nowMillis);
            readmit(host);
        } else if (probeFailed) {
            listener.onEjected(host, probeDelayMillis(proxiesPerHost), count.failed(), count.served());
        }
    }

    private void readmit(int host) {
        listener.onReadmitted(host, settings.recoveryRampMillis() * random.nextDouble());
    }

    /** Returns a random delay such that all proxies that use the host together probe it at the configured rate. */
    private double probeDelayMillis(double proxiesPerHost) {
        return 2 * MILLIS_PER_SECOND * proxiesPerHost / settings.probesPerSecond() * random.nextDouble();
    }
}
