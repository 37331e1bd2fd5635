package rillyard.admin;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;

/** The operations of a running proxy that operators can call; called on the admin server's thread. */
public interface AdminOperations {
    /** Returns whether the proxy is ready to serve requests. */
    boolean isReady();

    /** Returns the metrics of the process. */
    ProxyMetrics metrics();

    /**
     * Disables a host.
     *
     * @param fileExecutor runs all access to files
     * @return completes with whether the host is known, once it is disabled; fails if that could not be stored
     */
    CompletionStage<Boolean> detach(String host, Executor fileExecutor);

    /**
     * Enables a host.
     *
     * @param fileExecutor runs all access to files
     * @return completes with whether the host is known, once it is enabled; fails if that could not be stored
     */
    CompletionStage<Boolean> attach(String host, Executor fileExecutor);
}
