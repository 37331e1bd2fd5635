package rillyard.proxy.discovery;

import java.util.Properties;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.config.ConfigException;

/**
 * Reads the system properties of {@code deploy/lists.jvm}, which configure an {@link EndpointListGuard}. Without them
 * every full list is accepted unchanged.
 */
public final class EndpointListOptions {
    /** Property with the time for which hosts that an implausible list lacks are still used; unset for no guard. */
    public static final String HOLD_MILLIS_PROPERTY = "rillyard.lists.hold_ms";

    /** Property with the share of the hosts in use, 0 to 1, that a full list has to name to be plausible. */
    public static final String LEAST_SHARE_PROPERTY = "rillyard.lists.least_share";

    private static final String DEFAULT_LEAST_SHARE = "0.5";

    private EndpointListOptions() {}

    /**
     * Creates the guard that the properties configure.
     *
     * @return the guard, or null if none is configured
     * @throws ConfigException if a property is not a number or is out of its range
     */
    public static EndpointListGuard createGuard(Properties properties) throws ConfigException {
        if (properties.getProperty(HOLD_MILLIS_PROPERTY) == null) {
            return null;
        }
        double holdMillis = parseNumber(HOLD_MILLIS_PROPERTY, properties.getProperty(HOLD_MILLIS_PROPERTY));
        double leastShare =
                parseNumber(LEAST_SHARE_PROPERTY, properties.getProperty(LEAST_SHARE_PROPERTY, DEFAULT_LEAST_SHARE));
        try {
            return new EndpointListGuard(leastShare, holdMillis);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(
                    "-D" + HOLD_MILLIS_PROPERTY + ", -D" + LEAST_SHARE_PROPERTY + ": " + e.getMessage(), e);
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
