package rillyard.testserver;

import rillyard.requestlog.RequestLogWriter;

/** What a host needs of the test cluster it belongs to. */
interface HostContext {
    TestClusterPlan plan();

    RequestLogWriter requestLog();

    /** The class of this name, or null. */
    RequestClassSpec requestClass(String name);

    /** The memory of keys of a class that a host shares. */
    IdempotencyKeyStore idempotencyKeys(RequestClassSpec requestClass, HostSpec host);

    /** How many times this id has come before, at whatever host. */
    int nextAttemptNumber(String id);

    /** The host is to drain, and to stop when the fault's time is up. */
    void onDraining(HostServer host, HostFault fault);

    /** The host has died. */
    void onStopped(HostServer host, HostFault fault);

    /** The host listens again. */
    void onRestarted(HostServer host);

    /** A failure of our own code. */
    void onFailure(String message, Throwable cause);
}
