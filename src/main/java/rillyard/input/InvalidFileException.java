package rillyard.input;

import java.util.List;
import java.util.stream.Collectors;

/** A file can't be used; holds every finding, in the order of the lines. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient List<Finding> findings;

    /** {@code findings} holds one at least. */
    public InvalidFileException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
        this.findings = List.copyOf(findings);
    }

    /** A file with one finding. */
    public InvalidFileException(String file, int line, String message) {
        this(List.of(new Finding(file, line, message)));
    }

    public List<Finding> findings() {
        return findings;
    }
}
