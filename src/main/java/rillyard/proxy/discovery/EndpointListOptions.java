package rillyard.proxy.discovery;

import java.util.Properties;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.config.ConfigException;

/** What {@code deploy/lists.jvm} asks for; without its properties a whole list is always believed. */
public final class EndpointListOptions {
    /** For how long (ms) hosts are used on that a doubtful list lacks; not given is never. */
    public static final String HOLD = "rillyard.lists.hold_ms";

    /** The share of the hosts in use that a list has to name so as not to be doubted. */
    public static final String LEAST_SHARE = "rillyard.lists.least_share";

    private static final String USUAL_SHARE = "0.5";

    private EndpointListOptions() {}

    /**
     * The guard that is asked for, or null.
     *
     * @throws ConfigException if a property is no number or out of its range
     */
    public static EndpointListGuard guard(Properties from) throws ConfigException {
        if (from.getProperty(HOLD) == null) {
            return null;
        }
        double hold = number(HOLD, from.getProperty(HOLD));
        double share = number(LEAST_SHARE, from.getProperty(LEAST_SHARE, USUAL_SHARE));
        try {
            return new EndpointListGuard(share, hold);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("-D" + HOLD + ", -D" + LEAST_SHARE + ": " + e.getMessage());
        }
    }

    private static double number(String name, String value) throws ConfigException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("-D" + name + ": expected a number, found '" + value + "'");
        }
    }
}
