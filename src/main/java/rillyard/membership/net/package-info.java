/** Membership on datagrams: settings, the socket and its clock, a history of what was believed. */
package rillyard.membership.net;
