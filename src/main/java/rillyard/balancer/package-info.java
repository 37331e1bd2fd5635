/**
 * The load-balancing decisions: host selection, outlier detection, retries, hedging, slow start, load shedding and
 * quotas.
 *
 * <p>{@link rillyard.balancer.Balancer} is the entry point. Its caller passes in events with their time, and it acts
 * through {@link rillyard.balancer.BalancerActions}, so the same code runs in the proxy and in the simulation. The
 * package does no I/O, reads no clock, starts no thread and depends on nothing but the JDK; each balancer is confined
 * to its caller's thread. All times are milliseconds unless stated otherwise.
 *
 * <p>Rules are separate from state: {@code Tuning} holds the constants, the classes that use them implement the rules,
 * and the classes for host, attempt and request state and for statistics contain no rule.
 */
package rillyard.balancer;
