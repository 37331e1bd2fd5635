package rillyard.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import rillyard.imbalance.ImbalanceReport;

/** What came of a fault-injection run. */
public final class FaultInjectionResult {
    /** A part of the fault schedule that was carried out: a fault that began, or ended. */
    record Done(long at, InjectedFault fault, boolean begin) {}

    /** A member that was held dead by one who could have heard it. */
    public record FalseDeath(String by, String about, double atSeconds) {}

    /** So long (ms) after a fault beliefs may still come of it. */
    private static final long AFTERMATH_MS = 15_000;

    /** The report lists no more false deaths, and no more violations, than this. */
    private static final int MAX_LISTED = 10;

    private final FaultInjectionPlan plan;
    private final long begun;
    private final List<Done> done;
    private final Set<String> survivors;
    private final MembershipTimeline timeline;
    private final String resourceReport;
    private FaultInjectionAudit audit;
    private ImbalanceReport imbalance;
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
        this.survivors = Set.copyOf(living);
        this.timeline = beliefs;
        this.resourceReport = expense;
    }

    /** What of the fault schedule was carried out, in its order. */
    List<Done> done() {
        return done;
    }

    /** The audit of what clients asked for, and how the hosts were loaded; times of the latter count from {@code zero} (us). */
    void setServed(FaultInjectionAudit audit, ImbalanceReport report, long zero) {
        this.audit = audit;
        this.imbalance = report;
        this.zero = zero;
    }

    /** How the hosts were loaded; null where clients asked for nothing. */
    public ImbalanceReport imbalance() {
        return imbalance;
    }

    /** The audit of what clients asked for; null where they asked for nothing. */
    public FaultInjectionAudit audit() {
        return audit;
    }

    /** Whether nobody who could be heard was held dead, all agree in the end, and no rule was broken. */
    public boolean isClean() {
        return falseDeaths().isEmpty()
                && !Double.isNaN(convergedSince())
                && (audit == null || audit.verdict().isClean());
    }

    /** Writes what all believed, one line for each change, in the order of their times. */
    void write(Path file) throws IOException {
        timeline.write(file);
    }

    /** The names of those that live in the end. */
    public Set<String> survivors() {
        return survivors;
    }

    /** Seconds of the fault schedule since when all that live hold just these present; NaN if they don't. */
    public double convergedSince() {
        long since = timeline.agreedSince(survivors);
        return since < 0 ? Double.NaN : Math.max(0, since - begun) / 1e3;
    }

    /** For each of the living, seconds from the fault until it held this member gone; those that never did lack. */
    public List<Double> detectionDelays(String about, double faultSeconds) {
        long from = begun + (long) (faultSeconds * 1_000);
        Set<String> observers = new HashSet<>(survivors);
        observers.remove(about);
        List<Double> out = new ArrayList<>();
        timeline.heldGone(about, from, observers).values().forEach(at -> out.add((at - from) / 1e3));
        out.sort(null);
        return out;
    }

    /** Deaths of members that ran, and were cut off from nobody that has to do with it, at the time and just before. */
    public List<FalseDeath> falseDeaths() {
        List<FalseDeath> out = new ArrayList<>();
        for (MembershipTimeline.Belief belief : timeline.all()) {
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
            boolean over = !forGood && belief.at() > d.at() + fault.durationMs() + AFTERMATH_MS;
            if (d.begin() && d.at() <= belief.at() && !over) {
                boolean away = fault.target() == InjectedFault.Place.PROCESSES
                        && fault.kind() != InjectedFault.Kind.STARVE
                        && fault.sources().matches(about);
                // Under a cut, who can hear each other must not hold each other dead; after it words of both sides mix.
                boolean apart = fault.affects(by, about) || fault.affects(about, by);
                boolean mixed = fault.target() == InjectedFault.Place.DATAGRAMS
                        && belief.at() > d.at() + fault.durationMs()
                        && (fault.sources().matches(about)
                                || fault.destinations().matches(about));
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

    /** Formats the result as text: detection of each fault, agreement in the end, cost, audit and imbalance. */
    public String report() {
        StringBuilder out = new StringBuilder();
        done.forEach(step -> appendDetection(step, out));
        appendFalseDeaths(out);
        appendAgreement(out);
        out.append(resourceReport);
        if (audit != null) {
            appendAudit(out);
        }
        if (imbalance != null) {
            out.append(imbalance.format(zero));
        }
        return out.toString();
    }

    private void appendDetection(Done step, StringBuilder out) {
        InjectedFault fault = step.fault();
        if (!step.begin()
                || fault.target() != InjectedFault.Place.PROCESSES
                || fault.kind() == InjectedFault.Kind.STARVE
                || fault.kind() == InjectedFault.Kind.RESTART) {
            return;
        }
        for (FleetProcess process : plan.members()) {
            if (fault.sources().matches(process)) {
                appendDetection(step, process, out);
            }
        }
    }

    private void appendDetection(Done step, FleetProcess process, StringBuilder out) {
        List<Double> delays = detectionDelays(process.name(), (step.at() - begun) / 1e3);
        out.append(String.format(
                Locale.ROOT,
                "%s: held gone by %d of %d living",
                step.fault(),
                delays.size(),
                survivors.size() - (survivors.contains(process.name()) ? 1 : 0)));
        if (!delays.isEmpty()) {
            out.append(String.format(
                    Locale.ROOT,
                    ", after %.2f s (median), %.2f s (99th percentile), %.2f s (last)",
                    delays.get(delays.size() / 2),
                    delays.get((int) Math.ceil(0.99 * delays.size()) - 1),
                    delays.get(delays.size() - 1)));
        }
        out.append(" [").append(process.name()).append("]\n");
    }

    private void appendFalseDeaths(StringBuilder out) {
        List<FalseDeath> deaths = falseDeaths();
        out.append("false deaths: ").append(deaths.size()).append('\n');
        deaths.stream()
                .limit(MAX_LISTED)
                .forEach(death -> out.append("  ").append(death).append('\n'));
    }

    private void appendAgreement(StringBuilder out) {
        double agreed = convergedSince();
        if (Double.isNaN(agreed)) {
            out.append("in the end they do not agree\n");
        } else {
            out.append(String.format(
                    Locale.ROOT, "all %d living hold just each other since %.1f s%n", survivors.size(), agreed));
        }
        timeline.present(Long.MAX_VALUE).forEach((observer, present) -> {
            if (survivors.contains(observer) && !present.equals(survivors)) {
                out.append("  ")
                        .append(observer)
                        .append(" holds ")
                        .append(present.size())
                        .append(" present\n");
            }
        });
    }

    private void appendAudit(StringBuilder out) {
        out.append(String.format(
                Locale.ROOT,
                "%d tries, %d of them owed no answer (their process was halted under them), "
                        + "%d receipts of hosts: %d broken rules%n",
                audit.verdict().attempts(),
                audit.abandonedAttempts(),
                audit.verdict().executions(),
                audit.verdict().violations().size()));
        audit.verdict().violations().stream().limit(MAX_LISTED).forEach(violation -> out.append("  ")
                .append(violation.rule())
                .append(": ")
                .append(violation.description())
                .append('\n'));
        for (String warning : audit.verdict().warnings()) {
            out.append("  doubt: ").append(warning).append('\n');
        }
    }
}
