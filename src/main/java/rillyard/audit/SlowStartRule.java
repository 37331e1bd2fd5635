package rillyard.audit;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;

/**
 * Checks that no warming-up host is overloaded: the work that reaches it within any window must not exceed a multiple
 * of its capacity in that window.
 *
 * <p>Random variation is allowed for by three standard deviations of the work, as if requests arrived independently: 3
 * sqrt(sum of squares), by Campbell's theorem for a Poisson process.
 */
final class SlowStartRule {
    private static final double DEVIATIONS = 3;

    private final Evidence evidence;
    private final AuditSettings settings;

    SlowStartRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        for (HostEvent event : evidence.hostEvents) {
            if (event.kind() == HostEvent.Kind.STARTED && event.startsCold() && event.initialCapacityShare() < 1) {
                check(event, violations);
            }
        }
    }

    /** Slides a window over the host's requests and reports the first window whose work exceeds the limit. */
    private void check(HostEvent start, Consumer<Violation> violations) {
        List<HostExecution> executions = evidence.executionsByHost(start.host()).stream()
                .filter(execution -> isWarmingUp(start, execution.receivedAt()))
                .toList();
        double work = 0;
        double squares = 0;
        int first = 0;
        for (int last = 0; last < executions.size(); last++) {
            long nowMicros = executions.get(last).receivedAt();
            double added = executions.get(last).workMicros();
            work += added;
            squares += added * added;
            while (executions.get(first).receivedAt() <= nowMicros - settings.overloadWindowMicros()) {
                double expired = executions.get(first++).workMicros();
                work -= expired;
                squares -= expired * expired;
            }
            double budget = settings.overloadMultiple()
                    * capacity(start, nowMicros - settings.overloadWindowMicros(), nowMicros);
            double limit = budget + DEVIATIONS * Math.sqrt(Math.max(0, squares));
            if (work > limit) {
                List<HostExecution> window = executions.subList(first, last + 1);
                violations.accept(violation(start, nowMicros, work, budget, limit, window));
                return;
            }
        }
    }

    private static boolean isWarmingUp(HostEvent start, long atMicros) {
        return atMicros >= start.at() && atMicros < start.at() + start.warmUpMicros();
    }

    private Violation violation(
            HostEvent start, long nowMicros, double work, double budget, double limit, List<HostExecution> window) {
        String description = String.format(
                Locale.ROOT,
                "host %s, warming up for %d ms, received %.1f ms of work within %d ms, in %d requests; its"
                        + " budget is %.1f ms, or %.1f ms with random variation",
                start.host(),
                (nowMicros - start.at()) / 1_000,
                work / 1_000,
                settings.overloadWindowMicros() / 1_000,
                window.size(),
                budget / 1_000,
                limit / 1_000);
        return new Violation(Violation.Rule.COLD, nowMicros, description, Evidence.history(List.of(), window));
    }

    /**
     * Returns the work that the host can do between two times, in microseconds; its capacity rises linearly during the
     * warm-up.
     */
    private static double capacity(HostEvent start, long fromMicros, long toMicros) {
        // The part of a window before the host's start counts with the host's initial capacity.
        double fromOffset = fromMicros - start.at();
        double toOffset = toMicros - start.at();
        double before = Math.max(0, -fromOffset) * start.initialCapacityShare();
        double rampOffset = Math.max(0, fromOffset);
        double slope = (1 - start.initialCapacityShare()) / start.warmUpMicros();
        double rise = start.initialCapacityShare() * (toOffset - rampOffset)
                + slope * (toOffset * toOffset - rampOffset * rampOffset) / 2;
        return start.capacity() * (before + rise);
    }
}
