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

/** Carries votes on hosts, and rates, between a proxy and the other members of its fleet, as facts. */
public final class ObservationGossip implements PeerGossip {
    /** Kinds of the facts that hold votes. */
    static final int FIRST_KIND = 1;

    static final int KINDS = 3;

    /** Kind of the fact that holds the rate. */
    static final int RATE = 4;

    /** Votes end by their own age; as facts they last a little longer (ms). */
    private static final double VOTES_LAST = 6_000;

    private static final double RATE_LASTS = 600_000;

    /** Votes that say the same of newer sights are told again after so long (ms). */
    private static final double RENEW = 1_000;

    /** All names and rates are gone through so often (ms): with thousands of members that is work on the loop. */
    private static final double LAY_EACH = 1_000;

    private final FleetMember member;
    private final FleetOutlierDetector words;
    private final SubsetPlanner pools = new SubsetPlanner();
    private final RequestRate rate = new RequestRate();
    private final Set<String> strangers = new HashSet<>();
    private final Map<Integer, String> names = new HashMap<>();
    private Set<String> listed = Set.of();
    private Set<HostObservation> told = Set.of();
    private double toldAt = Double.NEGATIVE_INFINITY;
    private int factsTold;
    private double laidAt = Double.NEGATIVE_INFINITY;
    private Listener heed;

    /** The member is to be started by whoever made it. */
    public ObservationGossip(FleetMember member, FleetOutlierSettings settings, long seed) {
        this.member = member;
        this.words = new FleetOutlierDetector(settings, new SplittableRandom(seed), new Decided());
        member.followAttributes(FIRST_KIND, FIRST_KIND + 1, FIRST_KIND + 2, RATE);
    }

    @Override
    public void onAttemptEnded(String host, AttemptOutcome result, double now) {
        rate.onAttempt(now);
        switch (result) {
            case OK -> words.ended(HostObservation.number(host), false, now);
            case ERROR, TIMEOUT, RESET, CONNECT_FAILED -> words.ended(HostObservation.number(host), true, now);
            case FULL, CANCELLED, MOOT -> {} // a full host is busy, and the others tell nothing of it
        }
    }

    @Override
    public void step(double now, Set<String> hosts, Listener to) {
        heed = to;
        if (!hosts.equals(listed)) {
            listed = Set.copyOf(hosts);
            names.clear();
            listed.forEach(h -> names.put(HostObservation.number(h), h));
        }
        FleetMember.FleetSnapshot known = member.snapshot();
        List<HostObservation> mine =
                words.step(votes(known), known.presentNames().size(), listed.size(), now);
        tell(mine, now);
        byte[] news = rate.attributeValue(now);
        if (news != null) {
            member.setAttribute(RATE, news, RATE_LASTS, true);
        }
        if (now - laidAt >= LAY_EACH) {
            laidAt = now;
            lay(known);
        }
    }

    /** What the others saw of hosts that this proxy's own list names: nobody's word brings it another. */
    private List<List<HostObservation>> votes(FleetMember.FleetSnapshot known) {
        Map<String, List<HostObservation>> byOwner = new HashMap<>();
        for (int kind = FIRST_KIND; kind < FIRST_KIND + KINDS; kind++) {
            known.attributes(kind).forEach((owner, fact) -> {
                if (owner.equals(known.selfName())) {
                    return;
                }
                try {
                    for (HostObservation observation : ObservationCodec.decode(fact.value(), known.ageMillis(fact))) {
                        if (names.containsKey(observation.host())) {
                            byOwner.computeIfAbsent(owner, o -> new ArrayList<>())
                                    .add(observation);
                        }
                    }
                } catch (IllegalArgumentException e) {
                    strange(owner, e);
                }
            });
        }
        return List.copyOf(byOwner.values());
    }

    private void tell(List<HostObservation> mine, double now) {
        // What is said of which host, whenever it was seen.
        Set<HostObservation> said = mine.stream()
                .map(observation -> new HostObservation(observation.host(), observation.failed(), 0))
                .collect(Collectors.toSet());
        boolean renewed = !mine.isEmpty()
                && now - toldAt >= RENEW
                && mine.stream().anyMatch(hostObservation -> hostObservation.ageMillis() < now - toldAt);
        if (said.equals(told) && !renewed) {
            return;
        }
        told = said;
        toldAt = now;
        List<byte[]> values = ObservationCodec.encode(mine, KINDS);
        for (int i = 0; i < Math.max(values.size(), factsTold); i++) {
            member.setAttribute(FIRST_KIND + i, i < values.size() ? values.get(i) : new byte[0], VOTES_LAST, false);
        }
        factsTold = values.size();
    }

    private void lay(FleetMember.FleetSnapshot known) {
        Map<String, Double> rates = new HashMap<>();
        known.attributes(RATE).forEach((owner, fact) -> {
            try {
                rates.put(owner, RequestRate.read(fact.value()));
            } catch (IllegalArgumentException e) {
                strange(owner, e);
            }
        });
        SubsetPosition position =
                known.presentNames().isEmpty() ? null : pools.update(known.selfName(), known.presentNames(), rates);
        if (position != null) {
            heed.moveSubset(position);
            heed.log(String.format(
                    Locale.ROOT,
                    "fleet: pool %d of %d, weight %.2f",
                    position.position(),
                    position.proxyCount(),
                    position.weight()));
        }
    }

    private void strange(String owner, IllegalArgumentException e) {
        if (strangers.size() < 100 && strangers.add(owner)) {
            heed.log("fleet: " + owner + " says what can't be read: " + e.getMessage());
        }
    }

    private final class Decided implements FleetOutlierDetector.Out {
        @Override
        public void leave(int host, double wait, int failed, int served) {
            String name = names.get(host);
            if (name != null) {
                heed.eject(name, wait);
                heed.log(String.format(
                        Locale.ROOT,
                        "fleet: host %s left: failed %d proxies, served %d; trial in %.1f s",
                        name,
                        failed,
                        served,
                        wait / 1_000));
            }
        }

        @Override
        public void comeBack(int host, double wait) {
            String name = names.get(host);
            if (name != null) {
                heed.readmit(name, wait);
                heed.log(String.format(Locale.ROOT, "fleet: host %s serves again; back in %.1f s", name, wait / 1_000));
            }
        }
    }
}
