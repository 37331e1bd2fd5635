package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;

/** What {@link RandomWorld} itself knows of a request. */
final class CheckedRequest {
    Settings.RequestClass requestClass;
    double deadline;
    boolean ended;
    final List<CheckedAttempt> attempts = new ArrayList<>();
}
