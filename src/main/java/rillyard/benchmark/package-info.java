/**
 * Measurements that the pages quote, so that anybody can repeat them: each starts what it needs as
 * processes of their own, on cores of their own where {@code taskset} is there.
 */
package rillyard.benchmark;
