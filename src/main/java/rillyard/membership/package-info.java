/**
 * Determines which processes of the fleet are alive, by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health
 * and suspicion (Dadgar, Phillips, Currey 2017).
 *
 * <p>The package has no I/O, clock or threads: messages and times are passed in. Unless stated otherwise times are
 * milliseconds since the process of the member started, on a monotonic clock.
 */
package rillyard.membership;
