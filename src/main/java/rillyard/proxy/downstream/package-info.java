/**
 * Client side of the proxy: accepts connections, parses and validates requests, and writes responses.
 *
 * <p>Every type is confined to the proxy's event loop unless its documentation says otherwise.
 */
package rillyard.proxy.downstream;
