/**
 * Clocks and timers for the test server and the load generator. {@link rillyard.scheduling.Scheduler} is the interface;
 * it runs on a Netty event loop with a resolution of some microseconds, or on a virtual clock in tests.
 */
package rillyard.scheduling;
