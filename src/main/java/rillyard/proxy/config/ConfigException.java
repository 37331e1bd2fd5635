package rillyard.proxy.config;

/** The configuration is missing or makes no sense; the message is one plain line. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
