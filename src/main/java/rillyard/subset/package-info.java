/**
 * Subsetting: the choice of the hosts each proxy uses, so that all hosts have about equal numbers of proxies. {@link
 * rillyard.subset.SubsetPlanner} computes the subset of a running proxy, the other types compare algorithms. The
 * package does no I/O and reads no clock.
 */
package rillyard.subset;
