/**
 * Fault-injection runs: many proxy processes on one machine, whose datagrams and connections pass through relays.
 * Faults lose, delay or cut what passes the relays, and stop, throttle, kill and restart processes.
 */
package rillyard.faultinjection;
