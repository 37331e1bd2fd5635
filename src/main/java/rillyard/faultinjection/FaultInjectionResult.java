package rillyard.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import rillyard.imbalance.ImbalanceReport;

/** The result of a fault-injection run: membership, audit, host load and resource usage. */
public final class FaultInjectionResult {
    /**
     * A step of the fault schedule that was executed.
     *
     * @param at Unix time in milliseconds
     * @param fault the fault
     * @param begins whether the fault began at this step; otherwise it ended
     */
    record ExecutedStep(long at, InjectedFault fault, boolean begins) {}

    /**
     * A member that was declared dead although the observer could have heard it.
     *
     * @param by name of the observer
     * @param about name of the member
     * @param atSeconds seconds from the start of the fault schedule
     */
    public record FalseDeath(String by, String about, double atSeconds) {}

    /** Time in milliseconds after a fault's end for which it still excuses a change of member state. */
    private static final long AFTERMATH_MS = 15_000;

    /** Maximum number of false deaths, and of violations, that the report lists. */
    private static final int MAX_LISTED = 10;

    private final FaultInjectionPlan plan;
    private final long startMillis;
    private final List<ExecutedStep> executedSteps;
    private final Set<String> survivors;
    private final MembershipTimeline timeline;
    private final String resourceReport;
    private FaultInjectionAudit audit;
    private ImbalanceReport imbalance;
    private long zeroMicros;

    FaultInjectionResult(
            FaultInjectionPlan plan,
            long startMillis,
            List<ExecutedStep> executedSteps,
            Set<String> survivors,
            MembershipTimeline timeline,
            String resourceReport) {
        this.plan = plan;
        this.startMillis = startMillis;
        this.executedSteps = List.copyOf(executedSteps);
        this.survivors = Set.copyOf(survivors);
        this.timeline = timeline;
        this.resourceReport = resourceReport;
    }

    /** Returns the steps of the fault schedule that were executed, in their order. */
    List<ExecutedStep> executedSteps() {
        return executedSteps;
    }

    /**
     * Sets the results of a run with load.
     *
     * @param zeroMicros Unix time in microseconds from which the times of the imbalance report count
     */
    void setLoadResults(FaultInjectionAudit audit, ImbalanceReport imbalance, long zeroMicros) {
        this.audit = audit;
        this.imbalance = imbalance;
        this.zeroMicros = zeroMicros;
    }

    /** Returns how evenly the hosts were loaded, or null for a run without load. */
    public ImbalanceReport imbalance() {
        return imbalance;
    }

    /** Returns the audit of the request logs, or null for a run without load. */
    public FaultInjectionAudit audit() {
        return audit;
    }

    /** Returns whether there was no false death, all survivors agree in the end, and no rule was violated. */
    public boolean isClean() {
        return falseDeaths().isEmpty()
                && !Double.isNaN(convergedSince())
                && (audit == null || audit.verdict().isClean());
    }

    /** Writes the changes of member state that all processes recorded, one line each, in the order of their times. */
    void write(Path file) throws IOException {
        timeline.write(file);
    }

    /** Returns the names of the processes that are alive in the end. */
    public Set<String> survivors() {
        return survivors;
    }

    /**
     * Returns the time since which each survivor has seen exactly the survivors as present, in seconds from the start
     * of the fault schedule; NaN if they do not agree in the end.
     */
    public double convergedSince() {
        long since = timeline.agreedSince(survivors);
        return since < 0 ? Double.NaN : Math.max(0, since - startMillis) / 1e3;
    }

    /**
     * Returns the detection delays of a fault in seconds, in ascending order: one for each survivor that declared the
     * member absent after the fault.
     *
     * @param about name of the member
     * @param faultSeconds start of the fault, in seconds from the start of the fault schedule
     */
    public List<Double> detectionDelays(String about, double faultSeconds) {
        long fromMillis = startMillis + (long) (faultSeconds * 1_000);
        Set<String> observers = new HashSet<>(survivors);
        observers.remove(about);
        List<Double> delays = new ArrayList<>();
        timeline.detectionTimes(about, fromMillis, observers)
                .values()
                .forEach(at -> delays.add((at - fromMillis) / 1e3));
        delays.sort(null);
        return delays;
    }

    /**
     * Returns the declared deaths that no fault excuses: the member was running and not partitioned from the observer,
     * both at the time and for a while before.
     */
    public List<FalseDeath> falseDeaths() {
        List<FalseDeath> deaths = new ArrayList<>();
        for (MembershipTimeline.StateChange change : timeline.changes()) {
            if (change.status().equals("DEAD") && change.at() >= startMillis && !isExcused(change)) {
                deaths.add(new FalseDeath(change.observer(), change.subject(), (change.at() - startMillis) / 1e3));
            }
        }
        return deaths;
    }

    private boolean isExcused(MembershipTimeline.StateChange change) {
        FleetProcess observer = member(change.observer());
        FleetProcess subject = member(change.subject());
        for (ExecutedStep step : executedSteps) {
            InjectedFault fault = step.fault();
            boolean permanent = fault.kind() == InjectedFault.Kind.KILL || fault.kind() == InjectedFault.Kind.TERM;
            boolean expired = !permanent && change.at() > step.at() + fault.durationMs() + AFTERMATH_MS;
            if (step.begins() && step.at() <= change.at() && !expired) {
                boolean halted = fault.target() == InjectedFault.Target.PROCESSES
                        && fault.kind() != InjectedFault.Kind.STARVE
                        && fault.sources().matches(subject);
                // Members on one side of a partition must not declare each other dead; afterwards updates of both
                // sides mix.
                boolean separated = fault.affects(observer, subject) || fault.affects(subject, observer);
                boolean converging = fault.target() == InjectedFault.Target.DATAGRAMS
                        && change.at() > step.at() + fault.durationMs()
                        && (fault.sources().matches(subject)
                                || fault.destinations().matches(subject));
                boolean partitioned =
                        fault.kind() == InjectedFault.Kind.LOSE && fault.share() > 0.9 && (separated || converging);
                if (halted || partitioned) {
                    return true;
                }
            }
        }
        return false;
    }

    private FleetProcess member(String name) {
        return plan.member(Integer.parseInt(name.substring(1)));
    }

    /** Returns the result as text: detection of each fault, agreement in the end, cost, audit and imbalance. */
    public String report() {
        StringBuilder out = new StringBuilder();
        executedSteps.forEach(step -> appendDetection(step, out));
        appendFalseDeaths(out);
        appendAgreement(out);
        out.append(resourceReport);
        if (audit != null) {
            appendAudit(out);
        }
        if (imbalance != null) {
            out.append(imbalance.format(zeroMicros));
        }
        return out.toString();
    }

    private void appendDetection(ExecutedStep step, StringBuilder out) {
        InjectedFault fault = step.fault();
        if (!step.begins()
                || fault.target() != InjectedFault.Target.PROCESSES
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

    private void appendDetection(ExecutedStep step, FleetProcess process, StringBuilder out) {
        List<Double> delays = detectionDelays(process.name(), (step.at() - startMillis) / 1e3);
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
        timeline.presentMembers(Long.MAX_VALUE).forEach((observer, present) -> {
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
