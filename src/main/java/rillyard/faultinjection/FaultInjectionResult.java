package rillyard.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import rillyard.imbalance.ImbalanceReport;

/** What came of a trial. */
public final class FaultInjectionResult {
    /** A part of the timetable that was carried out: a fault that began, or ended. */
    record Done(long at, InjectedFault fault, boolean begin) {}

    /** A member that was held dead by one who could have heard it. */
    public record FalseDeath(String by, String about, double atSeconds) {}

    /** So long (ms) after a fault beliefs may still come of it. */
    private static final long AFTERMATH_MS = 15_000;

    private final FaultInjectionPlan plan;
    private final long begun;
    private final List<Done> done;
    private final Set<String> living;
    private final MembershipTimeline beliefs;
    private final String expense;
    private FaultInjectionAudit audit;
    private ImbalanceReport spread;
    private long zero;

    FaultInjectionResult(
            FaultInjectionPlan plan,
            long begun,
            List<Done> done,
            Set<String> living,
            MembershipTimeline beliefs,
            String expense) {
        this.plan = plan;
        this.begun = begun;
        this.done = List.copyOf(done);
        this.living = Set.copyOf(living);
        this.beliefs = beliefs;
        this.expense = expense;
    }

    /** What of the timetable was carried out, in its order. */
    List<Done> done() {
        return done;
    }

    /** The audit of what clients asked for, and how the hosts were loaded; times of the latter count from {@code zero} (us). */
    void served(FaultInjectionAudit a, ImbalanceReport s, long zero) {
        this.audit = a;
        this.spread = s;
        this.zero = zero;
    }

    /** How the hosts were loaded; null where clients asked for nothing. */
    public ImbalanceReport spread() {
        return spread;
    }

    /** The audit of what clients asked for; null where they asked for nothing. */
    public FaultInjectionAudit audit() {
        return audit;
    }

    /** Whether nobody who could be heard was held dead, all agree in the end, and no rule was broken. */
    public boolean good() {
        return falseDeaths().isEmpty()
                && !Double.isNaN(agreedSeconds())
                && (audit == null || audit.verdict().clean());
    }

    /** Writes what all believed, one line for each change, in the order of their times. */
    void write(Path file) throws IOException {
        beliefs.write(file);
    }

    /** The names of those that live in the end. */
    public Set<String> living() {
        return living;
    }

    /** Seconds of the timetable since when all that live hold just these present; NaN if they don't. */
    public double agreedSeconds() {
        long since = beliefs.agreedSince(living);
        return since < 0 ? Double.NaN : Math.max(0, since - begun) / 1e3;
    }

    /** For each of the living, seconds from the fault until it held this member gone; those that never did lack. */
    public List<Double> heldGoneAfter(String about, double faultSeconds) {
        long from = begun + (long) (faultSeconds * 1_000);
        Set<String> observers = new HashSet<>(living);
        observers.remove(about);
        List<Double> out = new ArrayList<>();
        beliefs.heldGone(about, from, observers).values().forEach(at -> out.add((at - from) / 1e3));
        out.sort(null);
        return out;
    }

    /** Deaths of members that ran, and were cut off from nobody that has to do with it, at the time and just before. */
    public List<FalseDeath> falseDeaths() {
        List<FalseDeath> out = new ArrayList<>();
        for (MembershipTimeline.Belief b : beliefs.all()) {
            if (b.status().equals("DEAD") && b.at() >= begun && !excused(b)) {
                out.add(new FalseDeath(b.member(), b.about(), (b.at() - begun) / 1e3));
            }
        }
        return out;
    }

    private boolean excused(MembershipTimeline.Belief b) {
        FleetProcess by = member(b.member());
        FleetProcess about = member(b.about());
        for (Done d : done) {
            InjectedFault f = d.fault();
            boolean forGood = f.kind() == InjectedFault.Kind.KILL || f.kind() == InjectedFault.Kind.TERM;
            boolean over = !forGood && b.at() > d.at() + f.lasts() + AFTERMATH_MS;
            if (d.begin() && d.at() <= b.at() && !over) {
                boolean away = f.place() == InjectedFault.Place.PROCESSES
                        && f.kind() != InjectedFault.Kind.STARVE
                        && f.on().has(about);
                // Under a cut, who can hear each other must not hold each other dead; after it words of both sides mix.
                boolean apart = f.touches(by, about) || f.touches(about, by);
                boolean mixed = f.place() == InjectedFault.Place.DATAGRAMS
                        && b.at() > d.at() + f.lasts()
                        && (f.on().has(about) || f.to().has(about));
                boolean cut = f.kind() == InjectedFault.Kind.LOSE && f.share() > 0.9 && (apart || mixed);
                if (away || cut) {
                    return true;
                }
            }
        }
        return false;
    }

    private FleetProcess member(String name) {
        return plan.member(Integer.parseInt(name.substring(1)));
    }

    /** The result in words, faults among them. */
    public String report() {
        StringBuilder s = new StringBuilder();
        for (Done d : done) {
            InjectedFault f = d.fault();
            if (!d.begin() || f.place() != InjectedFault.Place.PROCESSES || f.kind() == InjectedFault.Kind.STARVE) {
                continue;
            }
            for (FleetProcess m : plan.members()) {
                if (f.on().has(m) && f.kind() != InjectedFault.Kind.RESTART) {
                    List<Double> after = heldGoneAfter(m.name(), (d.at() - begun) / 1e3);
                    s.append(String.format(
                            Locale.ROOT,
                            "%s: held gone by %d of %d living",
                            f,
                            after.size(),
                            living.size() - (living.contains(m.name()) ? 1 : 0)));
                    if (!after.isEmpty()) {
                        s.append(String.format(
                                Locale.ROOT,
                                ", after %.2f s (median), %.2f s (99th percentile), %.2f s (last)",
                                after.get(after.size() / 2),
                                after.get((int) Math.ceil(0.99 * after.size()) - 1),
                                after.get(after.size() - 1)));
                    }
                    s.append(" [").append(m.name()).append("]\n");
                }
            }
        }
        s.append("false deaths: ").append(falseDeaths().size()).append('\n');
        falseDeaths().stream().limit(10).forEach(f -> s.append("  ").append(f).append('\n'));
        double agreed = agreedSeconds();
        s.append(
                Double.isNaN(agreed)
                        ? "in the end they do not agree\n"
                        : String.format(
                                Locale.ROOT,
                                "all %d living hold just each other since %.1f s%n",
                                living.size(),
                                agreed));
        for (Map.Entry<String, Set<String>> e : beliefs.present(Long.MAX_VALUE).entrySet()) {
            if (living.contains(e.getKey()) && !e.getValue().equals(living)) {
                s.append("  ")
                        .append(e.getKey())
                        .append(" holds ")
                        .append(e.getValue().size())
                        .append(" present\n");
            }
        }
        s.append(expense);
        if (audit != null) {
            s.append(String.format(
                    Locale.ROOT,
                    "%d tries, %d of them owed no answer (their process was halted under them), "
                            + "%d receipts of hosts: %d broken rules%n",
                    audit.verdict().tries(),
                    audit.notOwed(),
                    audit.verdict().runs(),
                    audit.verdict().breaches().size()));
            audit.verdict().breaches().stream().limit(10).forEach(b -> s.append("  ")
                    .append(b.rule())
                    .append(": ")
                    .append(b.what())
                    .append('\n'));
            audit.verdict()
                    .doubts()
                    .forEach(d -> s.append("  doubt: ").append(d).append('\n'));
        }
        if (spread != null) {
            s.append(spread.words(zero));
        }
        return s.toString();
    }
}
