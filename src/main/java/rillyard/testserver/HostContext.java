package rillyard.testserver;

import rillyard.requestlog.RequestLogWriter;

/**
 * Gives a host access to its cluster. Methods are called on the host's event loop; implementations are thread-safe, as
 * the hosts of a cluster run on several loops.
 */
interface HostContext {
    /** Returns the cluster's plan. */
    TestClusterPlan plan();

    /** Returns the request log that hosts write to. */
    RequestLogWriter requestLog();

    /** Returns the class of this name, or null if there is none. */
    RequestClassSpec requestClass(String name);

    /** Returns the key store of a class that this host shares with the others in its scope. */
    IdempotencyKeyStore idempotencyKeys(RequestClassSpec requestClass, HostSpec host);

    /** Counts an attempt and returns how many attempts with this request id any host received before it, from 0. */
    int nextAttemptNumber(String id);

    /** Called when the host starts to drain. It stops when the fault's duration is over. */
    void onDraining(HostServer host, HostFault fault);

    /** Called when the host has stopped, with the fault that stopped it. */
    void onStopped(HostServer host, HostFault fault);

    /** Called when the host listens again after a restart. */
    void onRestarted(HostServer host);

    /** Called on an internal error of the test server, as opposed to an injected fault. */
    void onFailure(String message, Throwable cause);
}
