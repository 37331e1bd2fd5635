package rillyard.outlier;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides which hosts this proxy ejects, and when it readmits them, from what all proxies last observed.
 *
 * <p>Each proxy decides for itself by the same rule from nearly the same observations, without coordination. Observations of
 * peers can only take requests from a host. Times are milliseconds of this proxy's clock. Not thread-safe.
 */
public final class FleetOutlierDetector {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Receives the decisions; hosts are given by {@link HostObservation#hostNumber}. */
    public interface Listener {
        /** The host gets no requests for {@code wait} ms, and is probed then. */
        void onEjected(int host, double wait, int failed, int served);

        /** The host may get requests again in {@code wait} ms. */
        void onReadmitted(int host, double wait);
    }

    private final FleetOutlierSettings settings;
    private final RandomGenerator random;
    private final Listener listener;
    private final LocalObservations local = new LocalObservations();
    private final Map<Integer, HostVerdict> verdicts = new HashMap<>();

    /** Creates a detector without observations; {@code random} is its only source of randomness. */
    public FleetOutlierDetector(FleetOutlierSettings settings, RandomGenerator random, Listener listener) {
        this.settings = settings;
        this.random = random;
        this.listener = listener;
    }

    /** Records an attempt of this proxy whose outcome tells whether the host serves. */
    public void onAttemptEnded(int host, boolean failed, double now) {
        local.record(host, failed, now);
        HostVerdict verdict = verdicts.get(host);
        if (verdict != null && verdict.isEjected() && failed) {
            verdict.onProbeFailed();
        }
    }

    /**
     * Evaluates the observations of all proxies and reports changes to the listener.
     *
     * @param peers the observations of the other proxies that are present, one list each, with their ages as of now
     * @param proxies number of proxies present, this one included
     * @param hosts number of hosts listed
     * @return this proxy's own observations to publish, the most important ones first
     */
    public List<HostObservation> evaluate(List<List<HostObservation>> peers, int proxies, int hosts, double now) {
        // A proxy that uses a part of the hosts assumes that all do: that many proxies then use each host.
        double users = (double) proxies * local.countUsedHosts(settings.usageWindow(), now) / Math.max(1, hosts);
        double usersPerHost = Math.max(settings.quorum(), users);
        Set<Integer> suspected = new TreeSet<>(verdicts.keySet());
        suspected.addAll(local.failingHosts(settings.observationWindow(), now));
        for (List<HostObservation> observations : peers) {
            for (HostObservation observation : observations) {
                if (observation.failed() && isRecent(observation)) {
                    suspected.add(observation.host());
                }
            }
        }
        List<HostObservation> own = local.observations(suspected::contains, settings.observationWindow(), now);
        Map<Integer, HostObservation> ownByHost =
                own.stream().collect(Collectors.toMap(HostObservation::host, observation -> observation));
        for (int host : suspected) {
            decide(host, ownByHost.get(host), peers, usersPerHost, now);
        }
        verdicts.entrySet().removeIf(entry -> isForgotten(entry.getKey(), entry.getValue(), now));
        return own;
    }

    private boolean isRecent(HostObservation observation) {
        return observation.ageMillis() < settings.observationWindow();
    }

    /**
     * Whether no failure has been reported for so long that the host is treated as any other. An ejected one is readmitted:
     * a proxy that is cut off from its peers would otherwise wait for its turn among all of them.
     */
    private boolean isForgotten(int host, HostVerdict verdict, double now) {
        boolean forgotten = now - verdict.failureReportedAt() > settings.forgetAfter();
        if (forgotten && verdict.isEjected()) {
            readmit(host);
        }
        return forgotten;
    }

    /** Decides on one host; {@code own} is null if this proxy has not observed it lately. */
    private void decide(
            int host, HostObservation own, List<List<HostObservation>> peers, double usersPerHost, double now) {
        HostVerdict verdict = verdicts.computeIfAbsent(host, key -> new HostVerdict());
        ObservationCount count = count(host, own, peers, verdict.changedAt(), now);
        verdict.evaluated(count.failed() > 0, now);
        if (verdict.isEjected()) {
            decideReadmission(host, verdict, count, usersPerHost, now);
        } else {
            decideEjection(host, verdict, count, own, usersPerHost, now);
        }
    }

    /** Counts the observations of a host after {@code since}, at most one of each proxy. */
    private ObservationCount count(
            int host, HostObservation own, List<List<HostObservation>> peers, double since, double now) {
        boolean countsOwn = own != null && now - own.ageMillis() > since;
        ObservationCount count = countsOwn ? ObservationCount.NONE.plus(own) : ObservationCount.NONE;
        for (List<HostObservation> observations : peers) {
            for (HostObservation observation : observations) {
                if (observation.host() == host && isRecent(observation) && now - observation.ageMillis() > since) {
                    count = count.plus(observation);
                    break;
                }
            }
        }
        return count;
    }

    private void decideEjection(
            int host,
            HostVerdict verdict,
            ObservationCount count,
            HostObservation own,
            double usersPerHost,
            double now) {
        int ownFailures = own != null && own.failed() ? 1 : 0;
        if (count.failed() > ownFailures) {
            verdict.suspect(now + count.newestFailureAge());
        } else {
            verdict.clearSuspicion();
        }
        // Observations of peers come late: a success of its own after the last failure of any proxy is newer.
        boolean servedSince = own != null && !own.failed() && own.ageMillis() < count.newestFailureAge();
        if (count.confirmsFailure(settings)
                && verdict.suspectedFor(now) >= settings.confirmationTime()
                && !servedSince) {
            verdict.change(true, now);
            listener.onEjected(host, timeToProbe(usersPerHost), count.failed(), count.served());
        }
    }

    private void decideReadmission(
            int host, HostVerdict verdict, ObservationCount count, double usersPerHost, double now) {
        boolean probeFailed = verdict.takeProbeFailed();
        if (count.confirmsRecovery(settings)) {
            verdict.change(false, now);
            readmit(host);
        } else if (probeFailed) {
            listener.onEjected(host, timeToProbe(usersPerHost), count.failed(), count.served());
        }
    }

    private void readmit(int host) {
        listener.onReadmitted(host, settings.recoveryRamp() * random.nextDouble());
    }

    /** Returns a random time such that all proxies that use the host together probe it at the configured rate. */
    private double timeToProbe(double usersPerHost) {
        return 2 * MILLIS_PER_SECOND * usersPerHost / settings.probesPerSecond() * random.nextDouble();
    }
}
