/**
 * Decides how long idle connections to hosts are kept, from how many proxies share the hosts; no I/O and no clock.
 */
package rillyard.connections;
