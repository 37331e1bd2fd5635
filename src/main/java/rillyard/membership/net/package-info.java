/** Runs the membership protocol over UDP: sockets, encryption, configuration, event log and the admin view. */
package rillyard.membership.net;
