package rillyard.proxy.discovery;

import java.util.Properties;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.config.ConfigException;

/** Reads the system properties of {@code deploy/lists.jvm}; without them every full list is accepted as it is. */
public final class EndpointListOptions {
    /** Milliseconds for which hosts are used on that an implausible list lacks; no guard if it is not set. */
    public static final String HOLD = "rillyard.lists.hold_ms";

    /** Share of the hosts in use, 0 to 1, that a full list has to name in order to be plausible. */
    public static final String LEAST_SHARE = "rillyard.lists.least_share";

    private static final String DEFAULT_LEAST_SHARE = "0.5";

    private EndpointListOptions() {}

    /**
     * Creates the guard that the properties ask for.
     *
     * @return the guard, or null if none is asked for
     * @throws ConfigException if a property is no number or out of its range
     */
    public static EndpointListGuard createGuard(Properties properties) throws ConfigException {
        if (properties.getProperty(HOLD) == null) {
            return null;
        }
        double holdMillis = parseNumber(HOLD, properties.getProperty(HOLD));
        double leastShare = parseNumber(LEAST_SHARE, properties.getProperty(LEAST_SHARE, DEFAULT_LEAST_SHARE));
        try {
            return new EndpointListGuard(leastShare, holdMillis);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("-D" + HOLD + ", -D" + LEAST_SHARE + ": " + e.getMessage(), e);
        }
    }

    private static double parseNumber(String name, String value) throws ConfigException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("-D" + name + ": expected a number, found '" + value + "'", e);
        }
    }
}
