/**
 * The load-balancing decisions: host selection, outlier detection, retries, hedging, slow start, load shedding and quotas.
 *
 * <p>{@link rillyard.balancer.Balancer} is the entry point. It is fed events with the time and answers through {@link
 * rillyard.balancer.BalancerActions}, so the same code runs on sockets and on the simulator's wire. The package does no I/O,
 * reads no clock, starts no thread and depends on nothing but the JDK; each balancer is confined to its caller's thread. All
 * times are milliseconds unless stated otherwise.
 *
 * <p>What decides is kept apart from what it is decided on: {@code Tuning} holds the constants, the classes that use them own
 * the rules, and host, attempt and request state as well as the statistics are plain classes without any rule.
 */
package rillyard.balancer;
