/**
 * Records the events of a proxy, one line per event, for analysis across a fleet; loaded only where it is enabled.
 */
package rillyard.trace;
