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
    void served(FaultInjectionAudit audit, ImbalanceReport report, long zero) {
        this.audit = audit;
        this.spread = report;
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
                && (audit == null || audit.verdict().isClean());
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
        for (MembershipTimeline.Belief belief : beliefs.all()) {
            if (belief.status().equals("DEAD") && belief.at() >= begun && !excused(belief)) {
                out.add(new FalseDeath(belief.member(), belief.about(), (belief.at() - begun) / 1e3));
            }
        }
        return out;
    }

    private boolean excused(MembershipTimeline.Belief belief) {
        FleetProcess by = member(belief.member());
        FleetProcess about = member(belief.about());
        for (Done d : done) {
            InjectedFault fault = d.fault();
            boolean forGood = fault.kind() == InjectedFault.Kind.KILL || fault.kind() == InjectedFault.Kind.TERM;
            boolean over = !forGood && belief.at() > d.at() + fault.lasts() + AFTERMATH_MS;
            if (d.begin() && d.at() <= belief.at() && !over) {
                boolean away = fault.place() == InjectedFault.Place.PROCESSES
                        && fault.kind() != InjectedFault.Kind.STARVE
                        && fault.on().has(about);
                // Under a cut, who can hear each other must not hold each other dead; after it words of both sides mix.
                boolean apart = fault.touches(by, about) || fault.touches(about, by);
                boolean mixed = fault.place() == InjectedFault.Place.DATAGRAMS
                        && belief.at() > d.at() + fault.lasts()
                        && (fault.on().has(about) || fault.to().has(about));
                boolean cut = fault.kind() == InjectedFault.Kind.LOSE && fault.share() > 0.9 && (apart || mixed);
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
        StringBuilder out = new StringBuilder();
        for (Done d : done) {
            InjectedFault fault = d.fault();
            if (!d.begin()
                    || fault.place() != InjectedFault.Place.PROCESSES
                    || fault.kind() == InjectedFault.Kind.STARVE) {
                continue;
            }
            for (FleetProcess process : plan.members()) {
                if (fault.on().has(process) && fault.kind() != InjectedFault.Kind.RESTART) {
                    List<Double> after = heldGoneAfter(process.name(), (d.at() - begun) / 1e3);
                    out.append(String.format(
                            Locale.ROOT,
                            "%s: held gone by %d of %d living",
                            fault,
                            after.size(),
                            living.size() - (living.contains(process.name()) ? 1 : 0)));
                    if (!after.isEmpty()) {
                        out.append(String.format(
                                Locale.ROOT,
                                ", after %.2f s (median), %.2f s (99th percentile), %.2f s (last)",
                                after.get(after.size() / 2),
                                after.get((int) Math.ceil(0.99 * after.size()) - 1),
                                after.get(after.size() - 1)));
                    }
                    out.append(" [").append(process.name()).append("]\n");
                }
            }
        }
        out.append("false deaths: ").append(falseDeaths().size()).append('\n');
        falseDeaths().stream()
                .limit(10)
                .forEach(death -> out.append("  ").append(death).append('\n'));
        double agreed = agreedSeconds();
        out.append(
                Double.isNaN(agreed)
                        ? "in the end they do not agree\n"
                        : String.format(
                                Locale.ROOT,
                                "all %d living hold just each other since %.1f s%n",
                                living.size(),
                                agreed));
        for (Map.Entry<String, Set<String>> e : beliefs.present(Long.MAX_VALUE).entrySet()) {
            if (living.contains(e.getKey()) && !e.getValue().equals(living)) {
                out.append("  ")
                        .append(e.getKey())
                        .append(" holds ")
                        .append(e.getValue().size())
                        .append(" present\n");
            }
        }
        out.append(expense);
        if (audit != null) {
            out.append(String.format(
                    Locale.ROOT,
                    "%d tries, %d of them owed no answer (their process was halted under them), "
                            + "%d receipts of hosts: %d broken rules%n",
                    audit.verdict().attempts(),
                    audit.notOwed(),
                    audit.verdict().executions(),
                    audit.verdict().violations().size()));
            audit.verdict().violations().stream().limit(10).forEach(violation -> out.append("  ")
                    .append(violation.rule())
                    .append(": ")
                    .append(violation.description())
                    .append('\n'));
            audit.verdict()
                    .warnings()
                    .forEach(d -> out.append("  doubt: ").append(d).append('\n'));
        }
        if (spread != null) {
            out.append(spread.words(zero));
        }
        return out.toString();
    }
}
