/**
 * The admin endpoint: readiness, metrics and disabled hosts, on a thread of its own.
 */
package rillyard.admin;
