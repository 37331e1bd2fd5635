/**
 * The endpoint list: the watch on discovery, its reconnects, the parser of lists, and the registry of the hosts that
 * they name.
 *
 * <p>Everything in this package is confined to the event loop of the proxy.
 */
package rillyard.proxy.discovery;
