/**
 * The load generator: open-loop arrivals on a schedule that the target can't slow down, and clients
 * that give up, come back and retry as the operators' app does. Latency counts from the time at
 * which the schedule had a request be sent (Gil Tene's "coordinated omission"), so a target that
 * stalls shows as late answers, not as a gap. Nothing in the proxy may use this package.
 */
package rillyard.loadgen;
