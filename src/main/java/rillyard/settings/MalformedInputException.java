package rillyard.settings;

/** Input that is not of the wire; its message is one plain line. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates it with a message for people. */
    public MalformedInputException(String message) {
        super(message);
    }
}
