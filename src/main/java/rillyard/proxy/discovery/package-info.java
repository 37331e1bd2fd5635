/**
 * The endpoint list: the watch on discovery, its reconnects, the parser of lists, and the registry of listed hosts.
 *
 * <p>Everything in this package is confined to the proxy's event loop.
 */
package rillyard.proxy.discovery;
