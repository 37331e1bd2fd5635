/**
 * Benchmarks whose results the documentation quotes. Each starts what it needs as child processes, on separate cores
 * where {@code taskset} is available.
 */
package rillyard.benchmark;
