package rillyard.config;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a configuration file can't be used; holds all problems, in the order of the lines. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<ConfigProblem> problems;

    /** Creates an exception for problems in the order of their lines; {@code problems} must not be empty. */
    public InvalidConfigException(List<ConfigProblem> problems) {
        super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Creates an exception for a single problem; {@code line} 0 means the file as a whole. */
    public InvalidConfigException(String file, int line, String message) {
        this(List.of(new ConfigProblem(file, line, message)));
    }

    /** Returns all problems found, in the order of their lines; never empty. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
