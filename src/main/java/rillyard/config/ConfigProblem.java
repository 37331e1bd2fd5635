package rillyard.config;

/**
 * A problem in a configuration file.
 *
 * @param file name of the file as the operator gave it
 * @param line number of the line, from 1; 0 for the file as a whole
 * @param message what was found and what is allowed, on one line
 */
public record ConfigProblem(String file, int line, String message) {
    @Override
    public String toString() {
        return line > 0 ? file + ":" + line + ": " + message : file + ": " + message;
    }
}
