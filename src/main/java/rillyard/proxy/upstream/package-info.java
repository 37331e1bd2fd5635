/**
 * Connections to hosts: the pool, one connection, the call that it carries, and what is learned of idle connections.
 *
 * <p>Everything in this package is confined to the event loop of the proxy.
 */
package rillyard.proxy.upstream;
