/**
 * Checks the four rules of the protocol against the request logs of clients and hosts; the rules do no I/O.
 */
package rillyard.audit;
