package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;

/** A request as {@link RandomWorld} records it, independently of the balancer. */
final class CheckedRequest {
    Settings.RequestClass requestClass;
    double deadlineMillis;
    boolean ended;
    final List<CheckedAttempt> attempts = new ArrayList<>();
}
