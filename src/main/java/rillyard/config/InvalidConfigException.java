package rillyard.config;

import java.util.List;
import java.util.stream.Collectors;

/** A file can't be used; holds every finding, in the order of the lines. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    /** {@code findings} holds one at least. */
    public InvalidConfigException(List<ConfigProblem> findings) {
        super(findings.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(findings);
    }

    /** A file with one finding. */
    public InvalidConfigException(String file, int line, String message) {
        this(List.of(new ConfigProblem(file, line, message)));
    }

    public List<ConfigProblem> problems() {
        return problems;
    }
}
