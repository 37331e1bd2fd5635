/**
 * Netty extensions of the event loop: sockets whose input can be checked ahead of its next turn, detection of stalls,
 * and timers whose failures are reported.
 */
package rillyard.proxy.eventloop;
