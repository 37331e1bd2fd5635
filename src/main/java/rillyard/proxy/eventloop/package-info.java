/**
 * Netty extensions of the event loop: sockets that can be read ahead of it, and detection of stalls in its turns.
 */
package rillyard.proxy.eventloop;
