package rillyard.config;

import java.util.Set;

/**
 * The keys of a {@code [[class]]} table that the plans of the load generator and of the test hosts share.
 *
 * @param name name of the class, unique in its file
 * @param latencyObjectiveMs response time up to which a response has its full value, 1 ms to 1 h
 * @param deadlineMs time after which the client gives up, not less than the objective
 */
public record RequestClassKeys(String name, double latencyObjectiveMs, double deadlineMs) {
    private static final String NAME_FORMAT = "[A-Za-z0-9._-]{1,64}";
    private static final double DEFAULT_LATENCY_OBJECTIVE_MS = 400;
    private static final double MAX_MS = 3_600_000;

    /**
     * Reads the keys and adds a problem to the table for each invalid one.
     *
     * @param knownNames names of the classes read so far; the name of this class is added
     */
    public static RequestClassKeys read(TomlTable table, Set<String> knownNames) {
        String name = table.text("name");
        if (!name.matches(NAME_FORMAT)) {
            table.error("name", "found '" + name + "', expected 1 to 64 letters, digits, dots, - or _");
        } else if (!knownNames.add(name)) {
            table.error("name", "'" + name + "' is already the name of another class");
        }
        double objective = table.number("aim_ms", DEFAULT_LATENCY_OBJECTIVE_MS, 1, MAX_MS);
        double deadline = table.number("deadline_ms", 2 * objective, 1, MAX_MS);
        if (deadline < objective) {
            table.error("deadline_ms", "found " + deadline + ", expected no less than aim_ms, " + objective);
        }
        return new RequestClassKeys(name, objective, deadline);
    }
}
