/**
 * Detects stalls of an event loop or its process, and how long what the loop reads may have waited; no I/O and no clock.
 */
package rillyard.stall;
