/**
 * Composition root of the client proxy: {@link rillyard.proxy.ClientProxy} creates its parts, starts, drains and stops
 * them.
 *
 * <p>Only {@code lifecycle} and packages outside the proxy depend on this one.
 */
package rillyard.proxy;
