package rillyard.outlier.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.SubsetPosition;
import rillyard.membership.net.FleetMember;
import rillyard.outlier.FleetOutlierDetector;
import rillyard.outlier.FleetOutlierSettings;
import rillyard.outlier.HostObservation;
import rillyard.outlier.ObservationCodec;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.subset.RequestRate;
import rillyard.subset.SubsetPlanner;

/**
 * Exchanges host observations and request rates with the other members of the fleet as member attributes, and derives
 * ejections and the subset position from them. Confined to the proxy's event loop.
 */
public final class ObservationGossip implements PeerGossip {
    /** The first of the attribute kinds that hold observations; they are consecutive. */
    static final int FIRST_OBSERVATION_KIND = 1;

    static final int OBSERVATION_KINDS = 3;

    /** The attribute kind that holds the request rate. */
    static final int RATE_KIND = 4;

    /** Lifetime of an attribute with observations; longer than that of the observations, which state their own age. */
    private static final double OBSERVATION_LIFETIME_MILLIS = 6_000;

    private static final double RATE_LIFETIME_MILLIS = 600_000;

    /** Interval at which unchanged observations are published again after newer attempts have confirmed them. */
    private static final double REFRESH_MILLIS = 1_000;

    /** Interval at which the subset is planned, which takes a while on the event loop with thousands of members. */
    private static final double PLANNING_MILLIS = 1_000;

    /** Largest number of members whose malformed attributes are logged. */
    private static final int MAX_MALFORMED_LOGGED = 100;

    private final FleetMember member;
    private final FleetOutlierDetector detector;
    private final SubsetPlanner planner = new SubsetPlanner();
    private final RequestRate requestRate = new RequestRate();
    private final Set<String> malformedMembers = new HashSet<>();
    private final Map<Integer, String> namesByNumber = new HashMap<>();
    private Set<String> listedHosts = Set.of();
    private Set<HostObservation> published = Set.of();
    private double publishedAtMillis = Double.NEGATIVE_INFINITY;
    private int publishedValues;
    private double plannedAtMillis = Double.NEGATIVE_INFINITY;
    private Listener listener;

    /** Creates the exchange of a member, which the caller starts and closes. */
    public ObservationGossip(FleetMember member, FleetOutlierSettings settings, long seed) {
        this.member = member;
        this.detector = new FleetOutlierDetector(settings, new SplittableRandom(seed), new DecisionListener());
        member.followAttributes(
                FIRST_OBSERVATION_KIND, FIRST_OBSERVATION_KIND + 1, FIRST_OBSERVATION_KIND + 2, RATE_KIND);
    }

    @Override
    public void onAttemptEnded(String host, AttemptOutcome outcome, double nowMillis) {
        requestRate.onAttempt(nowMillis);
        switch (outcome) {
            case OK -> detector.onAttemptEnded(HostObservation.hostNumber(host), false, nowMillis);
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED ->
                detector.onAttemptEnded(HostObservation.hostNumber(host), true, nowMillis);
            default -> {} // a host at capacity is no outlier; the other outcomes say nothing about the host
        }
    }

    @Override
    public void step(double nowMillis, Set<String> hosts, Listener newListener) {
        listener = newListener;
        if (!hosts.equals(listedHosts)) {
            listedHosts = Set.copyOf(hosts);
            namesByNumber.clear();
            listedHosts.forEach(host -> namesByNumber.put(HostObservation.hostNumber(host), host));
        }
        FleetMember.FleetSnapshot snapshot = member.snapshot();
        List<HostObservation> own = detector.evaluate(
                observationsOfPeers(snapshot), snapshot.presentNames().size(), listedHosts.size(), nowMillis);
        publish(own, nowMillis);
        byte[] rate = requestRate.attributeValue(nowMillis);
        if (rate != null) {
            member.setAttribute(RATE_KIND, rate, RATE_LIFETIME_MILLIS, true);
        }
        if (nowMillis - plannedAtMillis >= PLANNING_MILLIS) {
            plannedAtMillis = nowMillis;
            planSubset(snapshot);
        }
    }

    /** Returns the peers' observations of hosts that are on this proxy's own list; a peer can't add a host. */
    private List<List<HostObservation>> observationsOfPeers(FleetMember.FleetSnapshot snapshot) {
        Map<String, List<HostObservation>> byOwner = new HashMap<>();
        for (int index = 0; index < OBSERVATION_KINDS; index++) {
            snapshot.attributes(FIRST_OBSERVATION_KIND + index).forEach((owner, attribute) -> {
                if (!owner.equals(snapshot.selfName())) {
                    addObservations(byOwner, owner, attribute.value(), snapshot.ageMillis(attribute));
                }
            });
        }
        return List.copyOf(byOwner.values());
    }

    private void addObservations(
            Map<String, List<HostObservation>> byOwner, String owner, byte[] value, double ageMillis) {
        try {
            for (HostObservation observation : ObservationCodec.decode(value, ageMillis)) {
                if (namesByNumber.containsKey(observation.host())) {
                    byOwner.computeIfAbsent(owner, key -> new ArrayList<>()).add(observation);
                }
            }
        } catch (IllegalArgumentException e) {
            logMalformed(owner, e);
        }
    }

    /** Publishes this proxy's observations if they have changed, or if newer attempts have confirmed them. */
    private void publish(List<HostObservation> own, double nowMillis) {
        Set<HostObservation> withoutAges = own.stream()
                .map(observation -> new HostObservation(observation.host(), observation.failed(), 0))
                .collect(Collectors.toSet());
        boolean refreshed = !own.isEmpty()
                && nowMillis - publishedAtMillis >= REFRESH_MILLIS
                && own.stream().anyMatch(observation -> observation.ageMillis() < nowMillis - publishedAtMillis);
        if (withoutAges.equals(published) && !refreshed) {
            return;
        }
        published = withoutAges;
        publishedAtMillis = nowMillis;
        List<byte[]> values = ObservationCodec.encode(own, OBSERVATION_KINDS);
        for (int index = 0; index < Math.max(values.size(), publishedValues); index++) {
            byte[] value = index < values.size() ? values.get(index) : new byte[0];
            member.setAttribute(FIRST_OBSERVATION_KIND + index, value, OBSERVATION_LIFETIME_MILLIS, false);
        }
        publishedValues = values.size();
    }

    private void planSubset(FleetMember.FleetSnapshot snapshot) {
        Map<String, Double> rates = new HashMap<>();
        snapshot.attributes(RATE_KIND).forEach((owner, attribute) -> {
            try {
                rates.put(owner, RequestRate.decode(attribute.value()));
            } catch (IllegalArgumentException e) {
                logMalformed(owner, e);
            }
        });
        if (!snapshot.presentNames().isEmpty()) {
            planner.update(snapshot.selfName(), snapshot.presentNames(), rates).ifPresent(this::moveSubset);
        }
    }

    private void moveSubset(SubsetPosition position) {
        listener.moveSubset(position);
        listener.log(String.format(
                Locale.ROOT,
                "fleet: subset moved, position=%d of=%d weight=%.2f",
                position.position(),
                position.proxyCount(),
                position.weight()));
    }

    private void logMalformed(String owner, IllegalArgumentException cause) {
        if (malformedMembers.size() < MAX_MALFORMED_LOGGED && malformedMembers.add(owner)) {
            listener.log("fleet: malformed attribute, member=" + owner + " reason=\"" + cause.getMessage() + "\"");
        }
    }

    /** Forwards the detector's decisions by host name; a host that is no longer listed is skipped. */
    private final class DecisionListener implements FleetOutlierDetector.Listener {
        @Override
        public void onEjected(int host, double probeDelayMillis, int failedProxies, int servedProxies) {
            String name = namesByNumber.get(host);
            if (name != null) {
                listener.eject(name, probeDelayMillis);
                listener.log(String.format(
                        Locale.ROOT,
                        "fleet: host ejected, host=%s failed_proxies=%d served_proxies=%d probe_in_ms=%.0f",
                        name,
                        failedProxies,
                        servedProxies,
                        probeDelayMillis));
            }
        }

        @Override
        public void onReadmitted(int host, double delayMillis) {
            String name = namesByNumber.get(host);
            if (name != null) {
                listener.readmit(name, delayMillis);
                listener.log(String.format(
                        Locale.ROOT, "fleet: host readmitted, host=%s admitted_in_ms=%.0f", name, delayMillis));
            }
        }
    }
}
