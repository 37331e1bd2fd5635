package rillyard.settings;

/** Thrown if input is malformed. The message is a single line for operators. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public MalformedInputException(String message) {
        super(message);
    }

    /** Creates an exception with its cause, which may be null. */
    public MalformedInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
