/**
 * Executes requests: runs the balancer on the event loop, sends its attempts to hosts and returns exactly one response
 * for each request.
 *
 * <p>Every type is confined to the proxy's event loop unless its documentation says otherwise.
 */
package rillyard.proxy.dispatch;
