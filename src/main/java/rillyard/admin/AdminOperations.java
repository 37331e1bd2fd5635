package rillyard.admin;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/** What people on call and their tools may ask of a running proxy; called on the server's thread. */
public interface AdminOperations {
    /** Whether requests would be served now. */
    boolean isReady();

    /** The figures, brought up to date. */
    ProxyMetrics metrics();

    /**
     * Takes a host out.
     *
     * @param files where files are touched
     * @return whether such a host is known, once it is out; fails if this could not be done or kept
     */
    CompletionStage<Boolean> detach(String host, Executor files);

    /**
     * Gives a host back.
     *
     * @param files where files are touched
     * @return whether such a host is known, once it may serve; fails if this could not be done or kept
     */
    CompletionStage<Boolean> attach(String host, Executor files);
}
