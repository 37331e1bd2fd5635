/** How evenly all proxies together load the hosts: evenness, herds and idle hosts, each beside what chance would give. No I/O. */
package rillyard.imbalance;
