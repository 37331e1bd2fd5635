/**
 * Netty extensions of the event loop: sockets that can be read ahead of it, detection of stalls in its turns, and timers
 * whose failures are reported.
 */
package rillyard.proxy.eventloop;
