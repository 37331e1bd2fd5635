/**
 * The simulator's side of the decisions: reads batches of events from a stream of text lines, feeds them to one {@link
 * rillyard.balancer.Balancer} per simulated proxy and writes the actions back.
 */
package rillyard.simulation;
