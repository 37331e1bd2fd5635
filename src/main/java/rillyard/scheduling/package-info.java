/** Time as the test hosts and the generator need it: on an event loop to some microseconds, or virtual. */
package rillyard.scheduling;
