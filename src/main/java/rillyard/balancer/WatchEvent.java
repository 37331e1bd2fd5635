package rillyard.balancer;

/** The kind of a membership event. */
public enum WatchEvent {
    /** Only the changed entries. */
    DELTA,
    /** The whole list; hosts not in it are gone. */
    FULL,
    /** The whole list as last known, possibly old. */
    CACHED,
    /** A call to discovery failed or the subscription broke. */
    FAILED
}
