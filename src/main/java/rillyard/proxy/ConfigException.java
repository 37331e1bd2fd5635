package rillyard.proxy;

/** The configuration is missing or makes no sense; the message is one plain line. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }
}
