/**
 * The headers of the platform's HTTP protocol.
 */
package rillyard.proxy.http;
