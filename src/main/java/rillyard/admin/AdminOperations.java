package rillyard.admin;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/** The operations that operators can call on a running proxy; called on the admin server's thread. */
public interface AdminOperations {
    /** Returns whether the proxy is ready to serve requests. */
    boolean isReady();

    /** Returns the metrics of the process. */
    ProxyMetrics metrics();

    /**
     * Disables a host.
     *
     * @param fileExecutor runs all file accesses
     * @return completes when the host is disabled, with whether it is known; fails if the change can't be stored
     */
    CompletionStage<Boolean> detach(String host, Executor fileExecutor);

    /**
     * Enables a host.
     *
     * @param fileExecutor runs all file accesses
     * @return completes when the host is enabled, with whether it is known; fails if the change can't be stored
     */
    CompletionStage<Boolean> attach(String host, Executor fileExecutor);
}
