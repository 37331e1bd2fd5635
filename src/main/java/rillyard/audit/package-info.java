/**
 * Checks the protocol's rules against the request logs of clients and hosts: one response per request, at-most-once
 * execution, idempotency keys, draining and slow start. The rules do no I/O.
 */
package rillyard.audit;
