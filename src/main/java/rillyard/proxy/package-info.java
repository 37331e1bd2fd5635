/**
 * Composition root of the client proxy: {@link rillyard.proxy.ClientProxy} creates, starts, drains and stops its
 * components.
 *
 * <p>Only {@code lifecycle} and packages outside the proxy depend on this one.
 */
package rillyard.proxy;
