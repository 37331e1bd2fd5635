/**
 * Simulated hosts and a simulated discovery service on loopback, for tests, load runs and fault injection.
 *
 * <p>They speak the platform's protocol, serve each request for a configured service time, inject faults on a
 * schedule or on demand, and log every execution in the request log. The proxy must not depend on this package.
 */
package rillyard.testserver;
