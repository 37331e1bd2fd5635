/** Time as the stand-ins and the generator need it: on an event loop to some microseconds, or virtual. */
package rillyard.scheduling;
