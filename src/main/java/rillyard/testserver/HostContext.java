package rillyard.testserver;

import rillyard.requestlog.RequestLogWriter;

/** What a host needs of the test cluster it belongs to. */
interface HostContext {
    TestClusterPlan plan();

    RequestLogWriter ledger();

    /** The class of this name, or null. */
    RequestClassSpec type(String name);

    /** The memory of keys of a class that a host shares. */
    IdempotencyKeyStore memory(RequestClassSpec type, HostSpec host);

    /** How many times this id has come before, at whatever host. */
    int attempt(String id);

    /** The host is to drain, and to stop when the fault's time is up. */
    void draining(HostServer host, HostFault fault);

    /** The host has died. */
    void stopped(HostServer host, HostFault fault);

    /** The host listens again. */
    void restarted(HostServer host);

    /** A failure of our own code. */
    void failed(String what, Throwable cause);
}
