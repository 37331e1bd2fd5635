/**
 * Proves the four rules on a run, or breaks them, from what the clients' and the hosts' ledgers say;
 * decides alone, without I/O but for reading them.
 */
package rillyard.audit;
