/**
 * Decides which hosts are members: discovery's list, its plausibility, and hosts that operators disabled; no I/O and no clock.
 */
package rillyard.endpoints;
