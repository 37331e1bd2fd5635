package rillyard.proxy.dispatch;

import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.Settings;
import rillyard.proxy.upstream.UpstreamHost;
import rillyard.trace.ProxyTrace;
import rillyard.trace.TraceEvent.Kind;

/** Records what becomes of attempts and requests, in metrics, in the trace and with the peer gossip if there is any. */
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
            peerGossip.onAttemptEnded(host.name(), outcome, clock.now());
        }
        if (trace != null) {
            double hostAge = clock.now() - elapsedMillis - host.entry().startedAtMillis();
            trace.recordAttempt(
                    host.name(), outcome.traceWord(), elapsedMillis, hostAge >= 0 && hostAge < warmUpMillis);
        }
    }

    /** Records a response of the proxy's own; {@code lastOutcome} as of {@link ProxyTrace#recordRejection}. */
    void recordFinalOutcome(ProxyMetrics.RequestOutcome outcome, AttemptOutcome lastOutcome) {
        if (trace != null && outcome != ProxyMetrics.RequestOutcome.COMPLETED) {
            Kind kind = outcome == ProxyMetrics.RequestOutcome.REJECTED ? Kind.REFUSED : Kind.FAILED;
            trace.recordRejection(kind, lastOutcome == null ? null : lastOutcome.traceWord());
        }
    }
}
