/**
 * Load imbalance: how evenly all proxies together load the hosts, with herds and idle hosts, each compared with what random
 * choice would give. Times are microseconds of one clock. No I/O.
 */
package rillyard.imbalance;
