/**
 * Decides which processes of the fleet live: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health
 * and suspicion (Dadgar, Phillips, Currey 2017). No I/O, clock or threads: messages and a time come in.
 */
package rillyard.membership;
