/**
 * Detects stalls of an event loop or its process, and computes how long the input that the loop reads may have waited;
 * no I/O and no clock.
 */
package rillyard.stall;
