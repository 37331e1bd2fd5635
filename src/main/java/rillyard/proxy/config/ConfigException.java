package rillyard.proxy.config;

/** Signals that the configuration is missing or invalid; the message is one line for the operator. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a cause. */
    public ConfigException(String message) {
        super(message);
    }

    /** Creates an exception with the cause of the failure. */
    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}
