/**
 * Records what a proxy did, line by line, for analysis across a fleet; loaded only where it is asked for.
 */
package rillyard.trace;
