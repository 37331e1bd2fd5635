package rillyard.balancer;

/** The kind of an event of the watch on the endpoint list. */
public enum WatchEvent {
    /** Only the changed entries. */
    DELTA,
    /** The complete list; hosts not in it are gone. */
    FULL,
    /** The complete list as last known, possibly outdated. */
    CACHED,
    /** A call to discovery failed or the subscription broke. */
    FAILED
}
