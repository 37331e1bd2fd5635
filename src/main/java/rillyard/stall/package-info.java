/** Decides since when what an event loop reads may have waited, after it or its process stood still. */
package rillyard.stall;
