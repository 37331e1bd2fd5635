package rillyard.audit;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;

/**
 * No cold host pushed over: the work that reaches it within any window stays under so many times its
 * capacity within that window. Chance is allowed for by three standard deviations of the work, as if
 * requests came on their own: 3 sqrt(sum of squares), Campbell's theorem for a Poisson process.
 */
final class SlowStartRule {
    private static final double DEVIATIONS = 3;

    private final Evidence evidence;
    private final AuditSettings settings;

    SlowStartRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        for (HostEvent event : evidence.news) {
            if (event.kind() == HostEvent.Kind.STARTED && event.startsCold() && event.startShare() < 1) {
                check(event, to);
            }
        }
    }

    private void check(HostEvent start, Consumer<Violation> to) {
        List<HostExecution> runs = evidence.byHost(start.host()).stream()
                .filter(execution ->
                        execution.received() >= start.at() && execution.received() < start.at() + start.coldMicros())
                .toList();
        double work = 0;
        double squares = 0;
        int from = 0;
        for (int i = 0; i < runs.size(); i++) {
            long now = runs.get(i).received();
            double w = runs.get(i).work();
            work += w;
            squares += w * w;
            while (runs.get(from).received() <= now - settings.fall()) {
                double gone = runs.get(from++).work();
                work -= gone;
                squares -= gone * gone;
            }
            double budget = settings.fallMultiple() * capacity(start, now - settings.fall(), now);
            double most = budget + DEVIATIONS * Math.sqrt(Math.max(0, squares));
            if (work > most) {
                to.accept(new Violation(
                        Violation.Rule.COLD,
                        now,
                        String.format(
                                Locale.ROOT,
                                "host %s, cold for %d ms, got %.1f ms of work within %d ms, in %d requests; %.1f ms"
                                        + " are its budget, and %.1f ms with what chance may do",
                                start.host(),
                                (now - start.at()) / 1_000,
                                work / 1_000,
                                settings.fall() / 1_000,
                                i - from + 1,
                                budget / 1_000,
                                most / 1_000),
                        Evidence.history(List.of(), runs.subList(from, i + 1))));
                return;
            }
        }
    }

    /** Work that the host can do between two times: its share rises evenly while it gets warm. */
    private static double capacity(HostEvent start, long from, long to) {
        // A window that began before the host did has its whole length, at the share of the start.
        double a = from - start.at();
        double b = to - start.at();
        double before = Math.max(0, -a) * start.startShare();
        double low = Math.max(0, a);
        double slope = (1 - start.startShare()) / start.coldMicros();
        double rise = start.startShare() * (b - low) + slope * (b * b - low * low) / 2;
        return start.capacity() * (before + rise);
    }
}
