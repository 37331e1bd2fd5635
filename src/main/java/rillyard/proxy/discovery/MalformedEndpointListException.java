package rillyard.proxy.discovery;

/** Signals that what discovery sent is not a sequence of endpoint lists. */
final class MalformedEndpointListException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String message) {
        super(message);
    }

    MalformedEndpointListException(Throwable cause) {
        super(cause.getMessage(), cause);
    }
}
