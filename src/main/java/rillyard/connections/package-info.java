/**
 * Determines how long idle connections to hosts are kept, given how many proxies share the hosts; no I/O and no clock.
 */
package rillyard.connections;
