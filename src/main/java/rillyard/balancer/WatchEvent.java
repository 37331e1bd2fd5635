package rillyard.balancer;

/** The kind of a watch event of the endpoint list. */
public enum WatchEvent {
    /** Only the changed entries. */
    DELTA,
    /** The full list; hosts that are not in it are gone. */
    FULL,
    /** The full list as last known, which may be outdated. */
    CACHED,
    /** A call to discovery failed, or the subscription broke. */
    FAILED
}
