/**
 * Runs the balancer for a simulator: reads batches of events from a stream of text lines, passes them to one {@link
 * rillyard.balancer.Balancer} per simulated proxy and writes the actions back.
 */
package rillyard.simulation;
