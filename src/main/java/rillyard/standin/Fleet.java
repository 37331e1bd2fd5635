package rillyard.standin;

import rillyard.ledger.Ledger;

/** What a host needs of the stand-in it belongs to. */
interface Fleet {
    StandInPlan plan();

    Ledger ledger();

    /** The class of this name, or null. */
    ClassSpec type(String name);

    /** The memory of keys of a class that a host shares. */
    KeyMemory memory(ClassSpec type, HostSpec host);

    /** How many times this id has come before, at whatever host. */
    int attempt(String id);

    /** The host is to drain, and to stop when the fault's time is up. */
    void draining(HostServer host, Fault f);

    /** The host has died. */
    void stopped(HostServer host, Fault f);

    /** The host listens again. */
    void restarted(HostServer host);

    /** A failure of our own code. */
    void failed(String what, Throwable t);
}
