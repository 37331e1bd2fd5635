package rillyard.proxy.resources;

/** Thrown when a header section can't be received because the {@link HeaderMemoryBudget} is exhausted. */
public final class HeaderMemoryExhaustedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    HeaderMemoryExhaustedException() {
        super("header memory exhausted", null, false, false);
    }
}
