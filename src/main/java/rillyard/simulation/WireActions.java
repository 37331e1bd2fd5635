package rillyard.simulation;

import rillyard.balancer.BalancerActions;

/** Writes the actions of one simulated proxy to the reply, in the order in which they are taken. */
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

    private WireWriter start(String action, long request) {
        return start(action).word(" txn=").number(request);
    }

    /** {@inheritDoc} The wire has no field for {@code notAfter}, as a simulated connection comes up at once. */
    @Override
    public void send(long request, long host, double giveUpAfter, double notAfter) {
        start("transmit", request).word(" host=").number(host);
        if (giveUpAfter > 0) {
            reply.word(" giveUpAfter=").time(giveUpAfter);
        }
        reply.endLine();
    }

    @Override
    public void reject(long request, double retryAfter) {
        start("shed", request);
        if (retryAfter > 0) {
            reply.word(" coolDown=").time(retryAfter);
        }
        reply.endLine();
    }

    @Override
    public void fail(long request) {
        start("abort", request).endLine();
    }

    @Override
    public void cancel(long request, int attempt) {
        start("cancel", request).word(" sendNo=").number(attempt).endLine();
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        start("set_timer").word(" sleepFor=").time(Math.max(0, delay));
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
