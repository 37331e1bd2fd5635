/**
 * The load generator: an open-loop arrival schedule that the target cannot slow down, and simulated clients that time
 * out, abandon and retry.
 *
 * <p>Latency counts from the scheduled send time, which avoids coordinated omission (Gil Tene): a stalled target
 * shows as late responses, not as a gap in the load. The proxy must not depend on this package.
 */
package rillyard.loadgen;
