/**
 * Connections to hosts: the pool, a connection, the call that it carries, and the statistics of idle connections.
 *
 * <p>Everything in this package is confined to the event loop of the proxy.
 */
package rillyard.proxy.upstream;
