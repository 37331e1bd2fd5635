/**
 * Determines the hosts in use and their start times from the lists of discovery, whether a list is plausible, and the
 * hosts that operators disabled; no I/O and no clock.
 */
package rillyard.endpoints;
