package rillyard.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes with their statistics: those of the settings, and others that are added when requests name them.
 */
final class RequestClasses {
    private static final double MIN_DEADLINE_MILLIS = 1; // an objective of 0 could never be met

    private final Map<String, RequestClassStats> byName = new HashMap<>();

    RequestClasses(List<Settings.RequestClass> configured) {
        configured.forEach(each -> byName.put(each.name(), new RequestClassStats(each)));
    }

    /**
     * Returns the class of a request with {@code remainingMillis} left; a class that is not in the settings is added.
     */
    RequestClassStats get(String name, double remainingMillis) {
        RequestClassStats known = byName.get(name);
        if (known != null) {
            return known;
        }
        RequestClassStats added = new RequestClassStats(strictestClass(name, remainingMillis));
        byName.put(name, added);
        return added;
    }

    /** Returns a class for a name that is not in the settings: nothing is assumed to be repeatable. */
    private static Settings.RequestClass strictestClass(String name, double remainingMillis) {
        double deadlineMillis = Math.max(MIN_DEADLINE_MILLIS, remainingMillis);
        return new Settings.RequestClass(
                name,
                deadlineMillis,
                deadlineMillis,
                Settings.Semantics.AT_MOST_ONCE,
                Settings.Scope.ALL,
                0, // idempotency window
                1, // priority weight
                0); // weight of a late response
    }
}
