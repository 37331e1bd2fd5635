package rillyard.proxy.downstream;

import java.io.IOException;
import rillyard.admin.AcceptBackoff;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * Pauses the accepts of the server channel while no descriptor is left, and for some ms after an accept has failed.
 *
 * <p>Confined to the event loop.
 */
final class AcceptControl extends AcceptBackoff {
    private static final String SUBJECT = "listener";

    private final DescriptorBudget descriptors;
    private final ProxyLog log;

    AcceptControl(DescriptorBudget descriptors, ProxyLog log) {
        super(SUBJECT, log::info);
        this.descriptors = descriptors;
        this.log = log;
    }

    @Override
    protected boolean mayAccept() {
        return !descriptors.isExhausted();
    }

    @Override
    public void onAcceptFailed(Throwable cause) {
        if (cause instanceof IOException) {
            super.onAcceptFailed(cause);
        } else {
            log.error(SUBJECT + ": accept failed", cause);
        }
    }
}
