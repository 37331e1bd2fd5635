/**
 * Subsetting: which hosts each proxy uses, so that hosts have equal numbers of proxies. {@link
 * rillyard.subset.SubsetPlanner} does so for a running fleet, the other types compare algorithms. No I/O and no clock.
 */
package rillyard.subset;
