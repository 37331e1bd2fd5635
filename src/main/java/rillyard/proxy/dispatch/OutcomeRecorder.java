package rillyard.proxy.dispatch;

import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.Settings;
import rillyard.proxy.upstream.UpstreamHost;
import rillyard.trace.ProxyTrace;
import rillyard.trace.TraceEvent.Kind;

/** Records the outcomes of attempts and requests in the metrics, the trace and the peer gossip. */
final class OutcomeRecorder {
    private final BalancerClock clock;
    private final ProxyMetrics metrics;
    private final ProxyTrace trace;
    private final PeerGossip peerGossip;
    private final double warmUpMillis;

    /** Creates a recorder; {@code trace} and {@code peerGossip} may be null. */
    OutcomeRecorder(
            BalancerClock clock, ProxyMetrics metrics, ProxyTrace trace, PeerGossip peerGossip, Settings settings) {
        this.clock = clock;
        this.metrics = metrics;
        this.trace = trace;
        this.peerGossip = peerGossip;
        this.warmUpMillis = settings.rules().warmUpMillis();
    }

    ProxyMetrics metrics() {
        return metrics;
    }

    /** Records an attempt that has ended after {@code elapsedMillis}. */
    void recordAttempt(UpstreamHost host, AttemptOutcome outcome, double elapsedMillis) {
        if (peerGossip != null) {
            peerGossip.onAttemptEnded(host.name(), outcome, clock.nowMillis());
        }
        if (trace != null) {
            double hostAgeMillis =
                    clock.nowMillis() - elapsedMillis - host.entry().startedAtMillis();
            trace.recordAttempt(
                    host.name(),
                    outcome.traceWord(),
                    elapsedMillis,
                    hostAgeMillis >= 0 && hostAgeMillis < warmUpMillis);
        }
    }

    /** Records a rejection or failure in the trace; {@code lastOutcome} is null if no attempt has ended. */
    void recordFinalOutcome(ProxyMetrics.RequestOutcome outcome, AttemptOutcome lastOutcome) {
        if (trace != null && outcome != ProxyMetrics.RequestOutcome.COMPLETED) {
            Kind kind = outcome == ProxyMetrics.RequestOutcome.REJECTED ? Kind.REFUSED : Kind.FAILED;
            trace.recordRejection(kind, lastOutcome == null ? null : lastOutcome.traceWord());
        }
    }
}
