package rillyard.simulation;

import rillyard.balancer.BalancerActions;

/** Writes the actions of one simulated proxy to the reply, in the order of the calls. */
final class WireActions implements BalancerActions {
    private final WireWriter reply;
    private final long instance;

    WireActions(WireWriter reply, long instance) {
        this.reply = reply;
        this.instance = instance;
    }

    private WireWriter start(String action) {
        return reply.word(action).word(" who=").number(instance);
    }

    private WireWriter start(String action, long requestId) {
        return start(action).word(" txn=").number(requestId);
    }

    /** {@inheritDoc} The wire has no {@code notAfterMillis}, as simulated connections are opened without delay. */
    @Override
    public void send(long requestId, long hostId, double timeoutMillis, double notAfterMillis) {
        start("transmit", requestId).word(" host=").number(hostId);
        if (timeoutMillis > 0) {
            reply.word(" giveUpAfter=").time(timeoutMillis);
        }
        reply.endLine();
    }

    @Override
    public void reject(long requestId, double retryAfterMillis) {
        start("shed", requestId);
        if (retryAfterMillis > 0) {
            reply.word(" coolDown=").time(retryAfterMillis);
        }
        reply.endLine();
    }

    @Override
    public void fail(long requestId) {
        start("abort", requestId).endLine();
    }

    @Override
    public void cancel(long requestId, int attempt) {
        start("cancel", requestId).word(" sendNo=").number(attempt).endLine();
    }

    @Override
    public void scheduleTimer(double delayMillis, long token) {
        start("set_timer").word(" sleepFor=").time(Math.max(0, delayMillis));
        reply.word(" token=").number(token).endLine();
    }

    @Override
    public void subscribe() {
        start("follow").word(" active=1").endLine();
    }

    @Override
    public void log(String line) {
        start("say_log").word(" text=").text(line).endLine();
    }
}
