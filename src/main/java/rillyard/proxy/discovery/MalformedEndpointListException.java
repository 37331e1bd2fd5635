package rillyard.proxy.discovery;

/** Signals that data from discovery is not a valid sequence of endpoint lists. */
final class MalformedEndpointListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String message) {
        super(message);
    }

    MalformedEndpointListException(Throwable cause) {
        super(cause.getMessage(), cause);
    }
}
