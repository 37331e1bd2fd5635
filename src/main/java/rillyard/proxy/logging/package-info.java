/**
 * The log of a client proxy on standard error.
 */
package rillyard.proxy.logging;
